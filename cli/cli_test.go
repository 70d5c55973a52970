package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/io/caller"
)

// run runs a command line and returns the exit code, the standard output and the standard error.
func run(arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Run(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestOptionErrorsNameTheFlag(t *testing.T) {
	cases := []struct {
		arguments []string
		want      string
	}{
		{[]string{"entry"}, "--settings"},
		{[]string{"query", "--kind", "k"}, "--collection"},
		{[]string{"query", "--collection", "c"}, "--kind"},
		{[]string{"query", "--collection", "c", "--kind", "k", "--address", "host:1"}, "--address"},
		{[]string{"query", "--collection", "c", "--kind", "k", "--order"}, "--key"},
		{[]string{"query", "--collection", "c", "--kind", "k", "--ticket", "t"}, "--ticket"},
		{[]string{"query", "--collection", "c", "--kind", "k", "--timeout", "-1s"}, "--timeout"},
		{[]string{"query", "--speed"}, "--speed"},
		{[]string{"dump", "nowhere"}, "ADDRESS"},
		{[]string{"dump", "127.0.0.1:1", "--timeout", "0s"}, "--timeout"},
	}
	Convey("An error in the options names the option and exits with ExitUsage", t, func() {
		for _, tc := range cases {
			code, _, stderr := run(tc.arguments...)
			So(code, ShouldEqual, ExitUsage)
			So(stderr, ShouldContainSubstring, tc.want)
		}
	})
}

func TestEveryCommandHasAnExampleAndNamesTheExitCodes(t *testing.T) {
	Convey("The help of every command has examples and exit codes", t, func() {
		for _, command := range []string{"entry", "check", "dump", "query"} {
			code, stdout, _ := run(command, "--help")
			So(code, ShouldEqual, ExitOK)
			So(stdout, ShouldContainSubstring, "Examples:")
			So(stdout, ShouldContainSubstring, "Exit codes:")
		}
	})
}

func TestExitCodesOfAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer caller.AnswerBody
		code   int
	}{
		{"complete answer", caller.AnswerBody{Outcome: "answered", Coverage: &caller.CoverageBody{Covered: 2, Total: 2}}, ExitOK},
		{"partial answer", caller.AnswerBody{Outcome: "answered", Coverage: &caller.CoverageBody{Covered: 1, Total: 2}}, ExitPartial},
		{"refused and not run", caller.AnswerBody{Outcome: "refusedNotRun"}, ExitNotRun},
		{"unknown outcome", caller.AnswerBody{Outcome: "unknown"}, ExitUnknown},
	}
	Convey("The exit code shows the outcome of the answer", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_ = json.NewEncoder(w).Encode(tc.answer)
				}))
				defer server.Close()
				address := strings.TrimPrefix(server.URL, "http://")
				code, stdout, _ := run("query", "--address", address, "--collection", "c", "--kind", "k", "--json")
				So(code, ShouldEqual, tc.code)
				var printed caller.AnswerBody
				So(json.Unmarshal([]byte(stdout), &printed), ShouldBeNil)
				So(printed.Outcome, ShouldEqual, tc.answer.Outcome)
			})
		}
		Convey("unknown outcome if no instance listens at the address", func() {
			code, _, _ := run("query", "--address", "127.0.0.1:1", "--collection", "c", "--kind", "k")
			So(code, ShouldEqual, ExitUnknown)
		})
	})
}

func TestCheck(t *testing.T) {
	Convey("The committed examples are valid", t, func() {
		files, err := filepath.Glob("../examples/*/*.json")
		So(err, ShouldBeNil)
		So(len(files), ShouldBeGreaterThanOrEqualTo, 2)
		code, stdout, _ := run(append([]string{"check"}, files...)...)
		So(code, ShouldEqual, ExitOK)
		So(strings.Count(stdout, "valid   "), ShouldEqual, len(files))
	})
	Convey("An error in a file is printed with the file and the line", t, func() {
		file := filepath.Join(t.TempDir(), "bad.json")
		So(os.WriteFile(file, []byte("{\n \"instance\": 5\n}"), 0o600), ShouldBeNil)
		code, stdout, _ := run("check", file)
		So(code, ShouldEqual, ExitError)
		So(stdout, ShouldContainSubstring, "bad.json:2: instance: value 5")
	})
}
