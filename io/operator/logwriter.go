package operator

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many log lines wait for the output. More are dropped
	// and counted: a reader that stalls must not stall requests.
	maxQueuedLines = 4096
	// maxBatchBytes is how many bytes are written at once.
	maxBatchBytes = 64 << 10
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// LogWriter passes lines on to a slow output from a task of its own. Write never
// blocks.
type LogWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// reported is how many dropped lines the output was told of.
	reported int64
	stop     chan struct{}
	done     chan struct{}
}

// NewLogWriter returns a writer for the output and starts its task.
func NewLogWriter(output io.Writer) *LogWriter {
	w := &LogWriter{output: output, lines: make(chan []byte, maxQueuedLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *LogWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is queued, for flushTimeout at the most. Later lines are lost.
func (w *LogWriter) Close() {
	close(w.stop)
	limited, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-limited.Done():
	}
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(w.collect(line))
		case <-w.stop:
			w.write(w.collect(nil))
			return
		}
	}
}

func (w *LogWriter) write(batch []byte) {
	if dropped := w.dropped.Load(); dropped > w.reported {
		batch = append(batch, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)...)
		w.reported = dropped
	}
	if _, err := w.output.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// collect joins the line with those that wait behind it.
func (w *LogWriter) collect(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
