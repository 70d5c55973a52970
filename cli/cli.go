// Package cli implements the acaciavane command line. It also assembles an entry
// instance from its components.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit codes of the commands, for use in scripts.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitError means that the command failed, or that a checked file is invalid.
	ExitError = 1
	// ExitUsage means that an option is missing or invalid.
	ExitUsage = 2
	// ExitNotRun means that the request was refused and certainly not run.
	ExitNotRun = 3
	// ExitUnknown means that the outcome is unknown: the request may have run.
	ExitUnknown = 4
	// ExitPartial means that the answer does not cover the whole collection.
	ExitPartial = 5
)

const exitCodesHelp = `Exit codes: 0 done, 1 failed or invalid, 2 wrong options,
3 refused and not run, 4 outcome unknown, 5 answered in part.`

// exitError makes the program exit with a code after printing the message. The
// message is empty if there is nothing left to print.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.message
}

func usageError(message string) error {
	return &exitError{code: ExitUsage, message: message}
}

// Run executes the command line and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(arguments)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		exit = &exitError{code: ExitError, message: err.Error()}
	}
	if exit.message != "" {
		_, _ = fmt.Fprintln(stderr, "acaciavane:", exit.message)
	}
	return exit.code
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "acaciavane",
		Short:         "A query tier over many shards",
		Long:          "acaciavane answers queries over many shards, completely, from one snapshot and within a deadline.\n\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err.Error()) })
	root.AddCommand(newEntryCommand(stdout), newCheckCommand(stdout), newDumpCommand(stdout), newQueryCommand(stdout), newVersionCommand(stdout),
		newExplainCommand(os.Stdin, stdout, stderr))
	return root
}

func newVersionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  acaciavane version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(stdout, "acaciavane", version())
			return err
		},
	}
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
