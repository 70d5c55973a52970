package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// entry is a known finding and the tests that may fail with it.
type entry struct {
	pkg   string   // import path
	tests []string // names, with those of their parents
	// finding matches the failure messages that are known, and logs the other lines that the
	// tests print. The output of go test does not tell the two apart.
	finding *regexp.Regexp
	logs    []*regexp.Regexp
}

// parseEntries reads a list of known findings. Entries are separated by empty lines and have lines
// "field: value", of which test, package, finding and log are read. Entries without a finding
// document tests that CI does not run, and are left out.
func parseEntries(text string) ([]entry, error) {
	var entries []entry
	for _, paragraph := range strings.Split(text, "\n\n") {
		e, err := parseEntry(paragraph)
		if err != nil {
			return nil, err
		}
		if e.finding == nil {
			continue
		}
		if e.pkg == "" || len(e.tests) == 0 {
			return nil, fmt.Errorf("an entry with a finding has no test or no package: %q", paragraph)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func parseEntry(paragraph string) (entry, error) {
	var e entry
	for line := range strings.Lines(paragraph) {
		field, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch field {
		case "test":
			e.tests = append(e.tests, value)
		case "package":
			if e.pkg != "" {
				return e, fmt.Errorf("an entry has two packages: %q", paragraph)
			}
			e.pkg = value
		case "finding", "log":
			pattern, err := regexp.Compile("^(?:" + value + ")$")
			if err != nil {
				return e, err
			}
			if field == "log" {
				e.logs = append(e.logs, pattern)
				continue
			}
			if e.finding != nil {
				return e, fmt.Errorf("an entry has two findings: %q", paragraph)
			}
			e.finding = pattern
		}
	}
	return e, nil
}

// find returns the entry of a test, or nil.
func find(entries []entry, pkg, test string) *entry {
	for i := range entries {
		if entries[i].pkg == pkg && slices.Contains(entries[i].tests, test) {
			return &entries[i]
		}
	}
	return nil
}

// isFinding reports whether a failure message is known.
func (e *entry) isFinding(message string) bool {
	return e != nil && e.finding.MatchString(message)
}

// isLog reports whether a message is one that the test prints without failing.
func (e *entry) isLog(message string) bool {
	return e != nil && slices.ContainsFunc(e.logs, func(p *regexp.Regexp) bool { return p.MatchString(message) })
}
