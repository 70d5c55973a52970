// Command knownred runs a make target that prints the events of go test -json, and fails unless
// every failure is a finding that a list of known findings describes.
//
//	go run ./standin/knownred KNOWN-RED.txt make test TESTFLAGS=-json
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
)

func main() {
	const usage = "usage: knownred LIST COMMAND [ARGUMENT...]"
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs the command and prints what go test prints without -json. It returns an error unless
// all tests passed, or failed with findings of the list only.
func run(list string, command []string) error {
	raw, err := os.ReadFile(list)
	if err != nil {
		return err
	}
	entries, err := parseEntries(string(raw))
	if err != nil {
		return fmt.Errorf("%s: %w", list, err)
	}
	var messages bytes.Buffer
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "LC_ALL=C")
	cmd.Stderr = io.MultiWriter(os.Stderr, &messages)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	results, readErr := readResults(stdout, os.Stdout)
	exitErr := cmd.Wait()
	if readErr != nil {
		return readErr
	}
	return verdict(os.Stdout, results, entries, exitErr, messages.String())
}

// testsFailed matches what make prints if go test ended by itself with failed tests. If go test
// was killed, packages that it did not reach leave no other trace.
var testsFailed = regexp.MustCompile(`(?m)^make(?:\[\d+\])?: \*\*\* \[.*\] Error 1$`)

// verdict prints the known findings, and returns an error if anything else failed. exitErr is
// the result of make, and messages is its standard error.
func verdict(out io.Writer, results *results, entries []entry, exitErr error, messages string) error {
	known, problems := results.judge(entries)
	for _, line := range known {
		_, _ = fmt.Fprintln(out, "known red:", line)
	}
	for _, line := range problems {
		_, _ = fmt.Fprintln(out, "failed:", line)
	}
	switch {
	case len(problems) > 0:
		return fmt.Errorf("%d failures are not known", len(problems))
	case exitErr != nil && (len(known) == 0 || !testsFailed.MatchString(messages)):
		return fmt.Errorf("the tests did not end normally: %w", exitErr)
	}
	return nil
}
