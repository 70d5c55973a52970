package operator

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many log lines may wait for the output. Further lines are
	// dropped and counted, so that a stalled output does not block requests.
	maxQueuedLines = 4096
	// maxBatchBytes is the size at which a batch takes no more lines.
	maxBatchBytes = 64 << 10
	// flushTimeout is how long Close waits for the output.
	flushTimeout = 500 * time.Millisecond
)

// LogWriter writes lines to an output in a goroutine of its own, so that Write never
// blocks.
type LogWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// reported is the number of dropped lines that was last written to the output.
	reported int64
	stop     chan struct{}
	done     chan struct{}
}

// NewLogWriter returns a writer for the output and starts its goroutine.
func NewLogWriter(output io.Writer) *LogWriter {
	w := &LogWriter{output: output, lines: make(chan []byte, maxQueuedLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It must be called with one complete line, which is dropped
// if the queue is full.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far. A batch that the output fails to write
// counts as one line.
func (w *LogWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes a last batch of queued lines and returns when it is written, or after
// flushTimeout. Lines beyond the batch and lines written after Close are lost.
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

// collect appends queued lines to the batch, up to maxBatchBytes.
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
