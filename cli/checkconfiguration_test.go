package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const checkExamples = "../examples/check/platform/"

// TestCheckConfiguration guards against exit codes and output other than OPERATIONS.md describes.
func TestCheckConfiguration(t *testing.T) {
	example := func(name string) string { return checkExamples + name + ".json" }
	Convey("Without findings, the differences are described, and the exit code is 0", t, func() {
		code, stdout, _ := run("check", "--configuration", example("next"), "--against", example("current"))
		So(code, ShouldEqual, ExitFindingsNone)
		So(stdout, ShouldEqual, `differs  configuration, version: the version changes from 7 to 8
differs  limits, max-body-bytes: the largest body of a request changes from 262144 bytes to 524288 bytes
differs  route search, timeout-ms: the longest time that a caller waits changes from 2 s to 1500 ms
differs  route order, service or traffic-split: the destination changes from order-a to order-a (90%), order-b (10%)
differs  route proof: removed: requests to shop.example/proof/ go to order-b; they get status 404 now
no findings
`)
	})
	Convey("Errors come before warnings, and the exit code is 2", t, func() {
		code, stdout, _ := run("check", "--configuration", example("faulty"), "--against", example("current"))
		So(code, ShouldEqual, ExitFindingsErrors)
		So(strings.Count(stdout, "error    "), ShouldEqual, 7)
		So(strings.Count(stdout, "warning  "), ShouldEqual, 5)
		So(strings.LastIndex(stdout, "error    "), ShouldBeLessThan, strings.Index(stdout, "warning  "))
		So(stdout, ShouldContainSubstring, "error    route search, top-k: the number of records is 0; all answers are empty\n")
	})
	Convey("With warnings only, the exit code is 1", t, func() {
		code, stdout, _ := run("check", "--configuration", example("current"), "--against", example("current"))
		So(code, ShouldEqual, ExitFindingsWarnings)
		So(stdout, ShouldEqual, "warning  configuration, version: version 7 is the one in force; nothing changes\n")
	})
	Convey("JSON has the same contents", t, func() {
		code, stdout, _ := run("check", "--configuration", example("faulty"), "--against", example("current"), "--json")
		So(code, ShouldEqual, ExitFindingsErrors)
		var result checkResult
		So(json.Unmarshal([]byte(stdout), &result), ShouldBeNil)
		So(result.Findings, ShouldHaveLength, 12)
		So(result.Findings[0].placeBody, ShouldResemble, placeBody{Kind: "route", Name: "search-again", Field: "path-prefix"})
		So(result.Differences, ShouldNotBeEmpty)
	})
	Convey("The project's own format is checked, too", t, func() {
		file := "../examples/huron-bay/configuration.json"
		code, _, _ := run("check", "--configuration", file)
		So(code, ShouldEqual, ExitFindingsNone)
		raw, err := os.ReadFile(file)
		So(err, ShouldBeNil)
		faulty := filepath.Join(t.TempDir(), "faulty.json")
		So(os.WriteFile(faulty, []byte(strings.Replace(string(raw), `"slots": 2`, `"slots": -2`, 2)), 0o600), ShouldBeNil)
		code, stdout, _ := run("check", "--configuration", faulty, "--against", file)
		So(code, ShouldEqual, ExitFindingsErrors)
		So(strings.Count(stdout, "value -2"), ShouldEqual, 2)
	})
	Convey("A configuration that instances refuse is an error, and a file that can't be read gives 3", t, func() {
		write := func(text string) string {
			file := filepath.Join(t.TempDir(), "file.json")
			So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
			return file
		}
		for text, want := range map[string]int{
			`{"routes": []}`: ExitFindingsErrors, `{"version": "x"}`: ExitFindingsUnreadable, `{`: ExitFindingsUnreadable, `{"deployment": `: ExitFindingsUnreadable,
			`{"collections": [], "a": {}}}`: ExitFindingsUnreadable,
		} {
			code, _, _ := run("check", "--configuration", write(text))
			So(code, ShouldEqual, want)
		}
		for _, against := range []string{"missing.json", write(`{}`), "../examples/huron-bay/configuration.json"} {
			code, _, stderr := run("check", "--configuration", example("current"), "--against", against)
			So(code, ShouldEqual, ExitFindingsUnreadable)
			So(stderr, ShouldContainSubstring, against)
		}
	})
	Convey("Options that do not fit together are refused", t, func() {
		for _, arguments := range [][]string{{"check"}, {"check", "--json", "a"}, {"check", "--against", "a"}, {"check", "--configuration", "a", "b"}} {
			code, _, stderr := run(arguments...)
			So(code, ShouldEqual, ExitUsage)
			So(stderr, ShouldContainSubstring, "--configuration")
		}
	})
}
