package main

import (
	"fmt"
	"regexp"
	"strings"
)

// judge returns a line for each known finding and for each other failure.
func (r *results) judge(entries []entry) (known, problems []string) {
	for _, name := range r.notBuilt {
		problems = append(problems, name+": not built")
	}
	for _, name := range r.names {
		p := r.packages[name]
		switch p.ended {
		case "pass", "skip":
			continue
		case "fail":
		default:
			problems = append(problems, name+": did not end")
			continue
		}
		k, f := p.judge(name, entries)
		known = append(known, k...)
		problems = append(problems, f...)
		if len(k)+len(f) == 0 {
			problems = append(problems, name+": failed without a failed test")
		}
	}
	return known, problems
}

// judge returns a line for each known finding and for each other failure of a package that
// failed.
func (p *packageResult) judge(pkg string, entries []entry) (known, problems []string) {
	if !p.endedNormally(pkg) {
		problems = append(problems, pkg+": did not end normally")
	}
	for _, name := range p.names {
		switch p.tests[name].ended {
		case "pass", "skip":
			continue
		case "fail":
		default:
			problems = append(problems, pkg+" "+name+": did not end")
			continue
		}
		findings, err := p.findings(name, find(entries, pkg, name))
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s %s: %v", pkg, name, err))
		}
		for _, finding := range findings {
			known = append(known, fmt.Sprintf("%s %s: %s", pkg, name, finding))
		}
	}
	return known, problems
}

// endedNormally reports whether the package printed only that tests failed. After a panic, a
// time-out, an exit within a test or a data race after the last test, it printed less or more.
func (p *packageResult) endedNormally(pkg string) bool {
	pattern := `^FAIL\nFAIL\t` + regexp.QuoteMeta(pkg) + `\t[0-9.]+s\n$`
	return regexp.MustCompile(pattern).MatchString(p.output.String())
}

// findings returns the known findings of a test that failed. It returns an error if the test may
// have failed for another reason. A test without an entry may only fail through its subtests.
func (p *packageResult) findings(name string, e *entry) ([]string, error) {
	messages, err := parseMessages(p.tests[name].output.String())
	if err != nil {
		return nil, err
	}
	var findings []string
	for _, message := range messages {
		switch {
		case e.isFinding(message):
			findings = append(findings, message)
		case !e.isLog(message):
			return nil, fmt.Errorf("not a known finding: %q", message)
		}
	}
	if len(findings) == 0 && !p.hasFailedSubtest(name) {
		return nil, fmt.Errorf("failed without a known finding")
	}
	return findings, nil
}

func (p *packageResult) hasFailedSubtest(name string) bool {
	for other, o := range p.tests {
		if strings.HasPrefix(other, name+"/") && o.ended == "fail" {
			return true
		}
	}
	return false
}

var (
	frameLine    = regexp.MustCompile(`^(?:=== (?:RUN|PAUSE|CONT|NAME) | *--- FAIL: )`)
	messageStart = regexp.MustCompile(`^    [\w.-]+\.go:\d+: (.*)$`)
	messageRest  = regexp.MustCompile(`^        (.*)$`)
)

// parseMessages returns what a test printed through testing.T. It returns an error if there is
// other output, such as the report of goconvey, a data race or a panic.
func parseMessages(output string) ([]string, error) {
	var messages []string
	for line := range strings.Lines(output) {
		line = strings.TrimSuffix(line, "\n")
		start, rest := messageStart.FindStringSubmatch(line), messageRest.FindStringSubmatch(line)
		switch {
		case frameLine.MatchString(line):
		case start != nil:
			messages = append(messages, start[1])
		case rest != nil && len(messages) > 0:
			messages[len(messages)-1] += "\n" + rest[1]
		default:
			return nil, fmt.Errorf("output in an unknown form: %q", line)
		}
	}
	return messages, nil
}
