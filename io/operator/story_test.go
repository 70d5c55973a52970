package operator

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sampleLog = `{"time":"2026-12-04T08:00:00Z","msg":"instance started","instance":"n1"}
{"time":"2026-12-04T08:00:05Z","msg":"upstream out of use","instance":"n1","upstream":"u1","service":"s1","cause":"no reply"}
{"time":"2026-12-04T08:00:06Z","msg":"upstream out of use","instance":"n1","upstream":"u9","service":"s9","cause":"no reply"}
{"time":"2026-12-04T08:00:06Z","msg":"platform lost","instance":"n2"}
{"time":"2026-12-04T08:00:07Z","msg":"platform lost","instance":"n1"}
{"time":"2026-12-04T08:00:08.1Z","msg":"answered in part","instance":"n1","request":"r1","shards":"s1:sent s2:waiting","missing":2}
{"time":"2026-12-04T08:00:08Z","msg":"attempt failed","instance":"n1","request":"r1","service":"s1","upstream":"u1","failure":"lost"}
{"time":"2026-12-04T08:00:08Z","msg":"refused","instance":"n1","request":"r2","reason":"noUpstream"}
{"time":"2026-12-04T08:00:09Z","msg":"upstream in use","instance":"n1","upstream":"u1","service":"s1"}
`

func messages(lines []LogLine) []string {
	var all []string
	for _, line := range lines {
		all = append(all, line.Message+" "+line.Upstream+line.Instance)
	}
	return all
}

func TestStory(t *testing.T) {
	Convey("A request's story has its own lines and what its instance believed before", t, func() {
		lines, cut, err := ReadLog("log", strings.NewReader(sampleLog))
		So(err, ShouldBeNil)
		So(cut, ShouldBeFalse)
		So(messages(Story(lines, "r1")), ShouldResemble, []string{
			"instance started n1", "upstream out of use u1n1", "platform lost n1", "attempt failed u1n1", "answered in part n1",
		})
		So(messages(Story(lines, "r2")), ShouldResemble, []string{"instance started n1", "platform lost n1", "refused n1"})
		So(Story(lines, "r3"), ShouldBeEmpty)
	})
	Convey("A last line that was cut off is passed over", t, func() {
		lines, cut, err := ReadLog("log", strings.NewReader(sampleLog[:len(sampleLog)-20]))
		So(err, ShouldBeNil)
		So(cut, ShouldBeTrue)
		So(lines, ShouldHaveLength, 8)
	})
	Convey("A line that a killed process left unfinished is passed over, and its successor's is not", t, func() {
		lines, cut, err := ReadLog("log", strings.NewReader(sampleLog[:len(sampleLog)-20]+sampleLog))
		So(err, ShouldBeNil)
		So(cut, ShouldBeTrue)
		So(lines, ShouldHaveLength, 8+9)
	})
	Convey("A bad line is an error that names its number", t, func() {
		_, _, err := ReadLog("n1.log", strings.NewReader("{}\ngarbage\n{}\n"))
		So(errors.Is(err, ErrMalformedLog), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "n1.log: line 2")
	})
}
