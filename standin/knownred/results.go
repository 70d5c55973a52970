package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is a line of go test -json; see go doc test2json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// outcome is the end of a test or a package (pass, fail or skip, empty while it runs) with all
// that it printed.
type outcome struct {
	ended  string
	output strings.Builder
}

// packageResult is the outcome of a package. names has its tests in the order of their start.
type packageResult struct {
	outcome
	names []string
	tests map[string]*outcome
}

// results are the outcomes of a run of go test.
type results struct {
	names    []string
	packages map[string]*packageResult
	// notBuilt are the packages that could not be built.
	notBuilt []string
}

// readResults reads the output of go test -json. It prints the lines that are not events, the
// output of each package, and the output of each failed test.
func readResults(in io.Reader, out io.Writer) (*results, error) {
	r := &results{packages: map[string]*packageResult{}}
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadString('\n')
		if line != "" {
			r.readLine(line, out)
		}
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading the output of the tests: %w", err)
		}
	}
}

func (r *results) readLine(line string, out io.Writer) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil || e.Action == "" {
		_, _ = io.WriteString(out, line)
		return
	}
	switch e.Action {
	case "build-output":
		_, _ = io.WriteString(out, e.Output)
	case "build-fail":
		r.notBuilt = append(r.notBuilt, e.ImportPath)
	default:
		r.record(e, out)
	}
}

// record adds the event of a test or a package.
func (r *results) record(e event, out io.Writer) {
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{tests: map[string]*outcome{}}
		r.packages[e.Package] = p
		r.names = append(r.names, e.Package)
	}
	target := &p.outcome
	if e.Test != "" {
		target = p.test(e.Test)
	}
	switch e.Action {
	case "output":
		target.output.WriteString(e.Output)
		if e.Test == "" && e.Output != "PASS\n" {
			_, _ = io.WriteString(out, e.Output)
		}
	case "pass", "skip", "fail":
		target.ended = e.Action
		if e.Action == "fail" && e.Test != "" {
			_, _ = io.WriteString(out, target.output.String())
		}
	}
}

// test returns the outcome of a test, which it adds if the test is new.
func (p *packageResult) test(name string) *outcome {
	if p.tests[name] == nil {
		p.tests[name] = &outcome{}
		p.names = append(p.names, name)
	}
	return p.tests[name]
}
