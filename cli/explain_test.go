package cli

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestExplainSignature guards against a signature that is taken for a request or a file, and against an
// unknown signature that ends like a known one.
func TestExplainSignature(t *testing.T) {
	Convey("Given a log with the failure of an attempt", t, func() {
		const line = `{"time":"2026-12-06T08:00:01Z","msg":"attempt failed","instance":"n1","request":"r1","upstream":"u1","signature":"sig"}` + "\n"
		path := filepath.Join(t.TempDir(), "n1.log")
		So(os.WriteFile(path, []byte(line), 0o600), ShouldBeNil)
		Convey("explain names the attempt and prints its line", func() {
			code, stdout, _ := run("explain", "--signature", "sig", path)
			So(code, ShouldEqual, ExitOK)
			So(stdout, ShouldEqual, "n1 recorded that the attempt of request r1 at u1 failed with signature sig\n"+line)
		})
		Convey("explain fails if no line names the signature", func() {
			code, stdout, stderr := run("explain", "--signature", "other", path)
			So(code, ShouldEqual, ExitError)
			So(stdout, ShouldBeEmpty)
			So(stderr, ShouldContainSubstring, "no instance recorded a failure with signature other")
		})
		Convey("explain still takes a request", func() {
			code, stdout, _ := run("explain", "r1", path)
			So(code, ShouldEqual, ExitOK)
			So(stdout, ShouldEqual, line)
		})
	})
}
