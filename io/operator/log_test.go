package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// stalledOutput is an output whose Write blocks until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// failingOutput fails the first writes.
type failingOutput struct {
	stalledOutput
	failures int
}

func (o *failingOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures > 0 {
		o.failures--
		return 0, io.ErrClosedPipe
	}
	return o.buffer.Write(p)
}

func (o *failingOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// newTestWriter returns a LogWriter of the instance n1.
func newTestWriter(output io.Writer) *LogWriter {
	return NewLogWriter(core.NewClock(), output, "n1")
}

func TestLogWriter(t *testing.T) {
	Convey("A stalled output does not block writers, and the number of dropped lines is logged later", t, func() {
		output := &stalledOutput{release: make(chan struct{})}
		writer := newTestWriter(output)
		const line = "{\"msg\":\"x\"}\n"
		const maxBuffered = maxQueuedLines + maxBatchBytes/len(line) + 2
		const lines = 3 * maxBuffered
		written := make(chan struct{})
		go func() {
			defer close(written)
			for range lines {
				_, _ = writer.Write([]byte(line))
			}
		}()
		select {
		case <-written:
		case <-time.After(time.Second):
			t.Fatal("Write blocks on the stalled output")
		}
		So(writer.Dropped(), ShouldBeGreaterThanOrEqualTo, lines-maxBuffered)
		close(output.release)
		writer.Close()
		text := output.buffer.String()
		So(strings.Count(text, `"msg":"x"`)+int(writer.Dropped()), ShouldEqual, lines)
		So(text, ShouldContainSubstring, `"msg":"log lines dropped"`)
	})
	Convey("Close writes all queued lines, however many batches they fill", t, func() {
		output := &stalledOutput{release: make(chan struct{})}
		writer := newTestWriter(output)
		line := "{\"msg\":\"" + strings.Repeat("x", 100) + "\"}\n"
		const lines = 4000
		for range lines {
			_, _ = writer.Write([]byte(line))
		}
		close(output.release)
		writer.Close()
		So(strings.Count(output.buffer.String(), line), ShouldEqual, lines)
		So(writer.Dropped(), ShouldEqual, 0)
	})
	Convey("Lines that are lost at the end are counted", t, func() {
		output := &stalledOutput{release: make(chan struct{})}
		defer close(output.release)
		writer := newTestWriter(output)
		for range 10 {
			_, _ = writer.Write([]byte("a\n"))
			time.Sleep(time.Millisecond)
		}
		writer.Close()
		So(writer.Dropped(), ShouldBeBetweenOrEqual, 9, 10)
		before := writer.Dropped()
		_, _ = writer.Write([]byte("b\n"))
		So(writer.Dropped(), ShouldEqual, before+1)
	})
	Convey("Each line of a batch that can't be written is counted, and the report names the instance", t, func() {
		output := &failingOutput{failures: 1}
		writer := newTestWriter(output)
		_, _ = writer.Write([]byte("a\nb\n"))
		for writer.Dropped() == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _ = writer.Write([]byte("c\n"))
		writer.Close()
		So(writer.Dropped(), ShouldEqual, 1)
		lines, _, err := ReadLog("log", strings.NewReader(strings.TrimPrefix(output.text(), "c\n")))
		So(err, ShouldBeNil)
		So(lines, ShouldHaveLength, 1)
		So(lines[0].Instance, ShouldEqual, "n1")
		So(time.Since(lines[0].Time), ShouldBeLessThan, time.Minute)
	})
	Convey("Close writes the queued lines, and a later write is not an error", t, func() {
		var output bytes.Buffer
		writer := newTestWriter(&output)
		_, _ = writer.Write([]byte("a\n"))
		_, _ = writer.Write([]byte("b\n"))
		writer.Close()
		So(output.String(), ShouldEqual, "a\nb\n")
		_, err := writer.Write([]byte("late\n"))
		So(err, ShouldBeNil)
	})
}

func TestRateLimitPerMessage(t *testing.T) {
	Convey("Lines with the same message are rate-limited, others are not, and omitted lines are counted", t, func() {
		var output bytes.Buffer
		log, _, err := NewLog(&output, "n", "info")
		So(err, ShouldBeNil)
		const logged = 10 * lineBurst
		started := time.Now()
		for range logged - 1 {
			log.Info("frequent", "request", "r")
		}
		log.Info("rare")
		So(output.String(), ShouldContainSubstring, `"rare"`)
		time.Sleep(2 * time.Second / linesPerSecond)
		log.Info("frequent")
		written, leftOut := 0, 0
		for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
			var line struct {
				Message string `json:"msg"`
				LeftOut int    `json:"leftOut"`
			}
			So(json.Unmarshal([]byte(text), &line), ShouldBeNil)
			if line.Message == "frequent" {
				written++
				leftOut += line.LeftOut
			}
		}
		So(written+leftOut, ShouldEqual, logged)
		So(float64(written), ShouldBeLessThanOrEqualTo, lineBurst+1+linesPerSecond*time.Since(started).Seconds())
	})
}
