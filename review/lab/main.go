//go:build reviewlab

// Command lab runs the scripted cases of the review. Each case starts entry instances as
// separate processes and plays the platform's store, the backends and the clients itself, on
// loopback addresses.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab) (bool, error){}

// lab holds what the cases share: the record, the temporary folder and the started processes.
type lab struct {
	trouble bool
	folder  string
	started time.Time
	// configApply is config-apply-ms in the settings of the instances.
	configApply time.Duration
	// shares holds the processor shares of the machines, 0.4 where there is none.
	shares []float64
	// startGap is the time between the starts of two machines.
	startGap time.Duration

	mu        sync.Mutex
	record    *os.File
	instances []*instance
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs one case and returns the exit code.
func run(name, recordFile string) int {
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review-"+name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", folder: folder, started: time.Now(), configApply: 3 * time.Second, record: record}
	defer l.stopAll()
	l.note("case %s, trouble %v", name, l.trouble)
	broken, err := cases[name](l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		l.note("result: the rule is broken")
		fmt.Println("the rule is broken")
		return 1
	}
	l.note("result: the rule held")
	fmt.Println("the rule held")
	return 0
}

// note writes one line with the time since the start to the record.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
}

// summary writes a line to the record and to the standard output.
func (l *lab) summary(format string, values ...any) {
	l.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// troubled reports whether a disruption that lasts for the given time and comes again after a
// pause is on now.
func (l *lab) troubled(lasts, pause time.Duration) bool {
	return l.trouble && time.Since(l.started)%(lasts+pause) < lasts
}

// path returns a path in the temporary folder.
func (l *lab) path(name string) string { return filepath.Join(l.folder, name) }

// stopAll kills all instances that were started. LOGS names a folder that keeps their logs.
func (l *lab) stopAll() {
	for _, i := range l.instances {
		i.kill()
		if keep := os.Getenv("LOGS"); keep != "" {
			if raw, err := os.ReadFile(l.path(i.name + ".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, i.name+".log"), raw, 0o600)
			}
		}
	}
}
