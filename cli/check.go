package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"acaciavane/io/configservice"
	"acaciavane/io/operator"
)

func newCheckCommand(stdout io.Writer) *cobra.Command {
	var options checkOptions
	command := &cobra.Command{
		Use:   "check FILE... | check --configuration NEW [--against CURRENT] [--json]",
		Short: "Validate settings and published configurations",
		Long: `check validates files without a running instance. A file with the field
instance is read as settings, any other as a published configuration. Each error
is printed with its file, line, field and value, and with what is allowed.

With --configuration, check looks for errors, for entries that can never match
and for limits that contradict each other, in a configuration in the platform's
format or in the project's own. With --against it also prints what differs from
the configuration in force.

` + exitCodesHelp + `
With --configuration: 0 no findings, 1 only warnings, 2 errors, 3 a file can't be read.`,
		Example: `  acaciavane check examples/huron-bay/configuration.json
  acaciavane check --configuration examples/check/platform/next.json --against examples/check/platform/current.json`,
		RunE: func(_ *cobra.Command, files []string) error {
			if err := options.validate(files); err != nil {
				return err
			}
			if options.configuration != "" {
				return checkConfiguration(stdout, options)
			}
			return checkFiles(stdout, files)
		},
	}
	options.bind(command)
	return command
}

func checkFiles(stdout io.Writer, files []string) error {
	invalid := 0
	for _, file := range files {
		summary, err := checkFile(file)
		if err != nil {
			invalid++
			_, _ = fmt.Fprintf(stdout, "invalid %s\n%v\n", file, err)
			continue
		}
		_, _ = fmt.Fprintf(stdout, "valid   %s: %s\n", file, summary)
	}
	if invalid > 0 {
		return &exitError{code: ExitError, message: fmt.Sprintf("%d of %d files are invalid", invalid, len(files))}
	}
	return nil
}

func checkFile(file string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read file: %w", err)
	}
	if isSettings(raw) {
		settings, err := operator.DecodeSettings(file, raw)
		return fmt.Sprintf("settings of %s in %s", settings.Instance, settings.Zone), err
	}
	configuration, err := configservice.NewDecoder().ConfigurationFile(file, raw)
	return fmt.Sprintf("configuration %d of %s: %d services, %d collections",
		configuration.Version, configuration.Deployment,
		len(configuration.Services), len(configuration.Collections)), err
}

// isSettings reports whether the file is a JSON object with the field instance.
func isSettings(raw []byte) bool {
	var probe struct {
		Instance *json.RawMessage `json:"instance"`
	}
	return json.Unmarshal(raw, &probe) == nil && probe.Instance != nil
}
