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
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate settings and published configurations",
		Long: `check validates files without a running instance. A file with the field
instance is read as settings, any other as a published configuration. Each error
is printed with its file, line, field and value, and with what is allowed.

` + exitCodesHelp,
		Example: "  acaciavane check examples/huron-bay/configuration.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return checkFiles(stdout, files)
		},
	}
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
