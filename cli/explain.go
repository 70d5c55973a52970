package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"acaciavane/io/operator"
)

func newExplainCommand(stdin io.Reader, stdout, stderr io.Writer) *cobra.Command {
	var signature string
	command := &cobra.Command{
		Use:   "explain {REQUEST | --signature SIGNATURE} [FILE...]",
		Short: "Print what the logs of instances say about a request",
		Long: `explain reads the logs of any number of instances, from files or from standard
input, and prints the lines about one request in order of time. It also prints what
the instances that logged the request wrote about the services, upstreams and
dependencies that it used, from ten seconds before its first line until its last line.

With --signature it says whether an attempt failed with a reply of this signature, or
a copy of the reply was seen, and prints the same for the requests concerned.

` + exitCodesHelp,
		Example: "  acaciavane explain 7bd4b35717137fab logs/*.log\n" +
			"  acaciavane explain --signature 3e1b.07.5a2.600.0.c9f2a4d1 logs/*.log",
		Args: func(command *cobra.Command, arguments []string) error {
			if signature != "" {
				return nil // All arguments are files.
			}
			return cobra.MinimumNArgs(1)(command, arguments)
		},
		RunE: func(_ *cobra.Command, arguments []string) error {
			files := arguments
			if signature == "" {
				files = arguments[1:]
			}
			lines, err := readLogs(stdin, stderr, files)
			switch {
			case err != nil:
				return err
			case signature != "":
				return printSignatureTrace(stdout, lines, signature)
			}
			return printRequestLines(stdout, lines, arguments[0])
		},
	}
	command.Flags().StringVar(&signature, "signature", "", "signature of a shard's reply to look up, in place of a request")
	return command
}

// readLogs reads the log files, or standard input if none are given.
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

// readLog reads one log and warns on stderr if its last line is incomplete.
func readLog(stderr io.Writer, name string, from io.Reader) ([]operator.LogLine, error) {
	lines, cut, err := operator.ReadLog(name, from)
	if cut {
		_, _ = fmt.Fprintf(stderr, "%s: the last line is incomplete and was skipped\n", name)
	}
	return lines, err
}

// printRequestLines prints the lines about a request.
func printRequestLines(stdout io.Writer, lines []operator.LogLine, request string) error {
	related := operator.RequestTimeline(lines, request)
	if len(related) == 0 {
		return &exitError{code: ExitError, message: fmt.Sprintf("no log line mentions request %s", request)}
	}
	return printLines(stdout, related)
}

// printSignatureTrace prints what the lines show about a signature, and the lines that show it.
func printSignatureTrace(stdout io.Writer, lines []operator.LogLine, signature string) error {
	trace := operator.TraceSignature(lines, signature)
	if trace.IsEmpty() {
		return &exitError{code: ExitError, message: trace.Conclusion()}
	}
	if _, err := fmt.Fprintln(stdout, trace.Conclusion()); err != nil {
		return fmt.Errorf("write conclusion: %w", err)
	}
	return printLines(stdout, trace.Timeline(lines))
}

func printLines(stdout io.Writer, lines []operator.LogLine) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(stdout, line.Text); err != nil {
			return fmt.Errorf("write log lines: %w", err)
		}
	}
	return nil
}
