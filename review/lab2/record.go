package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to a file, with the seconds since it was created.
type recorder struct {
	begin time.Time

	mu     sync.Mutex
	file   *os.File
	output *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), file: file, output: bufio.NewWriter(file)}, nil
}

// line writes one line.
func (r *recorder) line(format string, values ...any) {
	r.lineAt(time.Now(), format, values...)
}

func (r *recorder) lineAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.output, "%8.3f %s\n", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

// answer writes a request and its answer.
func (r *recorder) answer(kind, instance string, a answer) {
	r.lineAt(a.sent, "request %s (%s) to %s: status %d after %d ms, error %v", a.id, kind, instance, a.status, a.elapsed.Milliseconds(), a.err)
}

// runs writes how many backends ran each request, by the time of the first run.
func (r *recorder) runs(l *ledger) {
	first, count := map[string]time.Time{}, map[string]int{}
	var order []string
	for _, a := range l.all() {
		if count[a.id]++; count[a.id] == 1 {
			first[a.id] = a.at
			order = append(order, a.id)
		}
	}
	for _, id := range order {
		r.lineAt(first[id], "request %s begins to run; %d backends ran it", id, count[id])
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.output.Flush()
	_ = r.file.Close()
}
