package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"acaciavane/io/operator"
)

func newDumpCommand(stdout io.Writer) *cobra.Command {
	var options dumpOptions
	command := &cobra.Command{
		Use:     "dump ADDRESS",
		Short:   "Print the whole state of a running instance as JSON",
		Long:    "dump reads the state of an instance from its operator address.\n\n" + exitCodesHelp,
		Example: "  acaciavane dump 127.0.0.1:7200",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			options.address = arguments[0]
			if err := options.validate(); err != nil {
				return err
			}
			return dump(command.Context(), stdout, options)
		},
	}
	options.bind(command)
	return command
}

func dump(ctx context.Context, stdout io.Writer, options dumpOptions) error {
	ctx, cancel := context.WithTimeout(ctx, options.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+options.address+operator.PathState, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("request the state: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request the state: status %d", response.StatusCode)
	}
	if _, err := io.Copy(stdout, response.Body); err != nil {
		return fmt.Errorf("print the state: %w", err)
	}
	return nil
}
