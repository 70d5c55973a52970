package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sampleList is the list of known findings that the recorded outputs are judged by.
const sampleList = `# Comment

test: TestListed
test: TestParent/listed
package: sample/red
command: go test ./red
seen: 3 of 60 requests refused
finding: [1-9]\d? of \d+ requests refused as overloaded
log: \d+ requests: \{.*\}

test: review/run.sh
seen: an entry without a finding allows nothing
`

// testsFailedMessage is what make prints after go test ended with failed tests.
const testsFailedMessage = "make: *** [Makefile:12: test] Error 1\n"

var errMake = errors.New("exit status 2")

// judgeRecorded passes an output to the command as if make had ended with the given messages, and
// returns what is printed and the verdict.
func judgeRecorded(t *testing.T, output string, exitErr error, messages string) (string, error) {
	t.Helper()
	entries, err := parseEntries(sampleList)
	if err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	r, err := readResults(strings.NewReader("go vet ./...\n"+output), &printed)
	if err != nil {
		t.Fatal(err)
	}
	err = verdict(&printed, r, entries, exitErr, messages)
	return printed.String(), err
}

// recorded returns an output of go test -json -trimpath, without the times.
func recorded(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestRecordedOutputs guards against failures that CI passes over because the same test or the
// same package also has a known finding.
func TestRecordedOutputs(t *testing.T) {
	const known = "known red: sample/red "
	cases := []struct {
		output string
		passes bool
		want   string // a line that is printed
	}{
		{"green", true, "ok  \tsample/red"},
		{"known", true, known + "TestListed: 3 of 60 requests refused as overloaded\n"},
		{"subtest", true, known + "TestParent/listed: 3 of 60"},
		{"knownAndSubtest", true, known + "TestParent/listed: 3 of 60"},
		{"knownAndOther", false, `TestListed: not a known finding: "answer from north-1: duplicate record item-00001"`},
		{"other", false, `TestListed: not a known finding: "answer from north-1`},
		{"lines", false, `TestListed: not a known finding: "3 of 60 requests refused as overloaded\nanswer from north-1: `},
		{"fatal", false, `TestListed: not a known finding: "connection refused"`},
		{"silent", false, "TestListed: failed without a known finding"},
		{"convey", false, "TestListed: output in an unknown form"},
		{"conveyParent", false, "TestParent: output in an unknown form"},
		{"parent", false, `TestParent: not a known finding: "want answers"`},
		{"twoSubtests", false, "TestParent/unlisted: not a known finding"},
		{"unlisted", false, "TestUnlisted: not a known finding"},
		{"panic", false, "sample/red: did not end normally"},
		{"race", false, `TestListed: output in an unknown form: "=================="`},
		{"lateRace", false, "sample/red: did not end normally"},
		{"timeout", false, "sample/red TestListed: did not end"},
		{"exit", false, "sample/red TestListed: did not end"},
		{"unclean", false, "sample/red: did not end normally"},
		{"buildFailure", false, "sample/broken [sample/broken.test]: not built"},
	}
	for _, tc := range cases {
		t.Run(tc.output, func(t *testing.T) {
			exitErr, messages := errMake, testsFailedMessage
			if tc.output == "green" {
				exitErr, messages = nil, ""
			}
			printed, err := judgeRecorded(t, recorded(t, tc.output), exitErr, messages)
			if passes := err == nil; passes != tc.passes {
				t.Errorf("passes: %t, want %t; verdict %v", passes, tc.passes, err)
			}
			if !strings.Contains(printed, tc.want) {
				t.Errorf("printed:\n%s\nwant %q", printed, tc.want)
			}
		})
	}
}

// TestUnfinishedRuns guards against runs that stop before all tests ran, beside a known finding.
func TestUnfinishedRuns(t *testing.T) {
	output := recorded(t, "known")
	cases := []struct{ name, output, messages string }{
		{"go test is killed between two packages", output, "make: *** [Makefile:12: test] Killed\n"},
		{"go test is killed within a package", output[:strings.Index(output, "TestUnlisted")], testsFailedMessage},
		{"go vet fails before the tests", "", "make: *** [Makefile:11: test] Error 1\n"},
		{"a test is cut off", strings.ReplaceAll(output, `{"Action":"pass"`, `{"Action":"pause"`), testsFailedMessage},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if printed, err := judgeRecorded(t, tc.output, errMake, tc.messages); err == nil {
				t.Errorf("the run passes; printed:\n%s", printed)
			}
		})
	}
}

// TestInvalidLists guards against entries that allow more than they seem to.
func TestInvalidLists(t *testing.T) {
	for _, list := range []string{
		"test: TestA\nfinding: x",
		"package: p\nfinding: x",
		"test: TestA\npackage: p\nfinding: x\nfinding: y",
		"test: TestA\npackage: p\npackage: q\nfinding: x",
		"test: TestA\npackage: p\nfinding: (",
	} {
		if entries, err := parseEntries(list); err == nil {
			t.Errorf("%q is read as %v", list, entries)
		}
	}
}

// TestListOfRepository guards against an entry of KNOWN-RED.txt that can't be read.
func TestListOfRepository(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseEntries(string(raw)); err != nil {
		t.Error(err)
	}
}
