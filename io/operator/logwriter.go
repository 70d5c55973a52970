package operator

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"acaciavane/core"
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
	clock    core.Clock
	output   io.Writer
	instance string
	lines    chan []byte
	// writing is the number of lines in the batch that is being written.
	writing atomic.Int64
	dropped atomic.Int64
	// reported is the number of dropped lines that was last written to the output.
	reported int64
	closed   atomic.Bool
	stop     chan struct{}
	done     chan struct{}
}

// NewLogWriter returns a writer for the log of an instance to the output and starts its goroutine.
func NewLogWriter(clock core.Clock, output io.Writer, instance string) *LogWriter {
	w := &LogWriter{clock: clock, output: output, instance: instance, lines: make(chan []byte, maxQueuedLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It must be called with one complete line, which is dropped
// if the queue is full or the writer is closed.
func (w *LogWriter) Write(line []byte) (int, error) {
	if w.closed.Load() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far, including those that the output failed to
// write.
func (w *LogWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and returns when they are written, or after flushTimeout. Lines that
// are not written by then count as dropped.
func (w *LogWriter) Close() {
	w.closed.Store(true)
	close(w.stop)
	limited, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-limited.Done():
		w.dropped.Add(w.writing.Load())
	}
	w.dropped.Add(int64(len(w.lines)))
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(w.collect(line))
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(w.collect(<-w.lines))
			}
			w.write(nil, 0)
			return
		}
	}
}

// write writes a batch of count lines, and a line that reports how many were dropped if more were
// since the last report.
func (w *LogWriter) write(batch []byte, count int64) {
	if dropped := w.dropped.Load(); dropped > w.reported {
		batch = append(batch, w.dropReport(dropped)...)
		w.reported = dropped
	}
	if len(batch) == 0 {
		return
	}
	w.writing.Store(count)
	if _, err := w.output.Write(batch); err != nil {
		w.dropped.Add(count)
	}
	w.writing.Store(0)
}

// dropReport returns a line that says how many lines were dropped in all.
func (w *LogWriter) dropReport(total int64) []byte {
	line, err := json.Marshal(struct {
		Time     time.Time `json:"time"`
		Level    string    `json:"level"`
		Message  string    `json:"msg"`
		Instance string    `json:"instance"`
		Total    int64     `json:"total"`
	}{time.UnixMilli(int64(w.clock.Now())), "WARN", "log lines dropped", w.instance, total})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}

// collect returns a batch of queued lines that begins with first, of about maxBatchBytes at most, and
// their number.
func (w *LogWriter) collect(first []byte) (batch []byte, count int64) {
	batch, count = first, 1
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			count++
		default:
			return batch, count
		}
	}
	return batch, count
}
