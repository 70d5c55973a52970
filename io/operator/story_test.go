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

func describe(lines []LogLine) []string {
	var all []string
	for _, line := range lines {
		all = append(all, line.Message+" "+line.Upstream+line.Instance)
	}
	return all
}

func TestRequestTimeline(t *testing.T) {
	Convey("The lines about a request come with earlier lines about its services, upstreams and dependencies", t, func() {
		lines, truncated, err := ReadLog("log", strings.NewReader(sampleLog))
		So(err, ShouldBeNil)
		So(truncated, ShouldBeFalse)
		So(describe(RequestTimeline(lines, "r1")), ShouldResemble, []string{
			"instance started n1", "upstream out of use u1n1", "platform lost n1", "attempt failed u1n1", "answered in part n1",
		})
		So(describe(RequestTimeline(lines, "r2")), ShouldResemble, []string{"instance started n1", "platform lost n1", "refused n1"})
		So(RequestTimeline(lines, "r3"), ShouldBeEmpty)
	})
	Convey("A refusal because of request limits comes with the limits and with tokens that were not received", t, func() {
		const log = `{"time":"2026-12-04T08:00:01Z","msg":"upstream limited","instance":"n1","upstream":"u1","service":"s1","limitPerSecond":4}
{"time":"2026-12-04T08:00:02Z","msg":"tokens not received","instance":"n1","zone":"z","upstreams":2}
{"time":"2026-12-04T08:00:03Z","msg":"refused","instance":"n1","request":"r1","service":"s1","reason":"overloaded"}
`
		lines, _, err := ReadLog("log", strings.NewReader(log))
		So(err, ShouldBeNil)
		So(RequestTimeline(lines, "r1"), ShouldHaveLength, 3)
	})
	Convey("A line whose shards are a number, as in the logs of former versions, is read", t, func() {
		const line = `{"time":"2026-12-04T08:00:08Z","msg":"group request failed","instance":"n1","request":"r1","shards":17}` + "\n"
		lines, _, err := ReadLog("log", strings.NewReader(sampleLog+line))
		So(err, ShouldBeNil)
		So(lines[len(lines)-1].Shards, ShouldBeEmpty)
		So(describe(RequestTimeline(lines, "r1")), ShouldContain, "group request failed n1")
	})
	Convey("An incomplete last line is skipped", t, func() {
		lines, truncated, err := ReadLog("log", strings.NewReader(sampleLog[:len(sampleLog)-20]))
		So(err, ShouldBeNil)
		So(truncated, ShouldBeTrue)
		So(lines, ShouldHaveLength, 8)
	})
	Convey("An incomplete line is skipped, but not the line that the next process appended to it", t, func() {
		lines, truncated, err := ReadLog("log", strings.NewReader(sampleLog[:len(sampleLog)-20]+sampleLog))
		So(err, ShouldBeNil)
		So(truncated, ShouldBeTrue)
		So(lines, ShouldHaveLength, 8+9)
	})
	Convey("The error for a malformed line contains the name of the log and the line number", t, func() {
		_, _, err := ReadLog("n1.log", strings.NewReader("{}\ngarbage\n{}\n"))
		So(errors.Is(err, ErrMalformedLog), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "n1.log: line 2")
	})
}
