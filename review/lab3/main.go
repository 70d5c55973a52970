// Command lab3 plays case 9 of the second review with processes of the system, and with stand-ins for its clients, its
// backends and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for the record")
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(*lab, bool) (bool, error){"hang": hang}
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(*root, *out, *trouble, run))
}

// Exit codes of the cases.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs one case in a temporary folder and ends all processes that it started.
func play(root, out string, trouble bool, run func(*lab, bool) (bool, error)) int {
	folder, err := os.MkdirTemp("", "lab3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	l := &lab{ip: loopbackAddress(0), root: root, folder: folder, record: &record{started: time.Now(), file: file}}
	defer l.endMachines()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		l.endMachines()
		os.Exit(exitNotRun)
	}()
	held, err := run(l, trouble)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
