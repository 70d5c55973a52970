package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"acaciavane/io/operator"
)

func newExplainCommand(stdin io.Reader, stdout, stderr io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Tell a request's story from the logs of instances",
		Long: `explain reads the logs of any number of instances, from files or from standard
input, and prints the lines about one request in the order of time, with what each
instance wrote in the ten seconds before of the services, upstreams and dependencies
concerned.

` + exitCodesHelp,
		Example: "  acaciavane explain 7bd4b35717137fab logs/*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			lines, err := readLogs(stdin, stderr, arguments[1:])
			if err != nil {
				return err
			}
			return printStory(stdout, lines, arguments[0])
		},
	}
}

// readLogs reads the files, or standard input where there are none.
func readLogs(stdin io.Reader, stderr io.Writer, files []string) ([]operator.LogLine, error) {
	if len(files) == 0 {
		return readLog(stderr, "standard input", stdin)
	}
	var all []operator.LogLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, err := readLog(stderr, name, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(stderr io.Writer, name string, from io.Reader) ([]operator.LogLine, error) {
	lines, cut, err := operator.ReadLog(name, from)
	if cut {
		_, _ = fmt.Fprintf(stderr, "%s: the last line is cut off and was passed over\n", name)
	}
	return lines, err
}

func printStory(stdout io.Writer, lines []operator.LogLine, request string) error {
	story := operator.Story(lines, request)
	if len(story) == 0 {
		return &exitError{code: ExitError, message: fmt.Sprintf("no line names request %s", request)}
	}
	for _, line := range story {
		if _, err := fmt.Fprintln(stdout, line.Text); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}
