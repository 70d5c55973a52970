package operator

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stalledOutput takes nothing until it is released.
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

func TestLogWriter(t *testing.T) {
	Convey("A log whose output nobody reads blocks no writer, and says later what is missing", t, func() {
		output := &stalledOutput{release: make(chan struct{})}
		writer := NewLogWriter(output)
		const line = "{\"msg\":\"x\"}\n"
		const held = maxQueuedLines + maxBatchBytes/len(line) + 2
		const lines = 3 * held
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
			t.Fatal("a writer waits for the reader of the log")
		}
		So(writer.Dropped(), ShouldBeGreaterThanOrEqualTo, lines-held)
		close(output.release)
		writer.Close()
		text := output.buffer.String()
		So(strings.Count(text, `"msg":"x"`)+int(writer.Dropped()), ShouldEqual, lines)
		So(text, ShouldContainSubstring, `"msg":"log lines dropped"`)
	})
	Convey("What was written before the end is there after it", t, func() {
		var output bytes.Buffer
		writer := NewLogWriter(&output)
		_, _ = writer.Write([]byte("a\n"))
		_, _ = writer.Write([]byte("b\n"))
		writer.Close()
		So(output.String(), ShouldEqual, "a\nb\n")
		_, err := writer.Write([]byte("late\n"))
		So(err, ShouldBeNil)
	})
}

func TestLinesAreLimitedByKind(t *testing.T) {
	Convey("Many lines of one kind are limited, others are not, and none is left out untold", t, func() {
		var output bytes.Buffer
		log, _, err := NewLog(&output, "n", "info")
		So(err, ShouldBeNil)
		const logged = 10 * lineBurst
		started := time.Now()
		for range logged - 1 {
			log.Info("often", "request", "r")
		}
		log.Info("seldom")
		So(output.String(), ShouldContainSubstring, `"seldom"`)
		time.Sleep(2 * time.Second / linesPerSecond)
		log.Info("often")
		written, leftOut := 0, 0
		for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
			var line struct {
				Message string `json:"msg"`
				LeftOut int    `json:"leftOut"`
			}
			So(json.Unmarshal([]byte(text), &line), ShouldBeNil)
			if line.Message == "often" {
				written++
				leftOut += line.LeftOut
			}
		}
		So(written+leftOut, ShouldEqual, logged)
		So(float64(written), ShouldBeLessThanOrEqualTo, lineBurst+1+linesPerSecond*time.Since(started).Seconds())
	})
}
