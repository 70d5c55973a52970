package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes, one line for each event with the seconds since its start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
