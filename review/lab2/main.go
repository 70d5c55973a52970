// Command lab2 plays cases of the second review: it starts instances of the program as processes
// beside a store, backends and clients of its own.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns its exit code.
var cases = map[string]func(d *deployment, trouble bool, record *recorder) int{
	"popular": popularCase,
	"crasher": crasherCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	recordPath := flag.String("record", "record.txt", "file to write what happens to")
	keep := flag.String("keep", "", "directory for the settings and logs of the instances, which are kept")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return exitNotRun
	}
	record, err := newRecorder(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(*keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(d, os.Getenv("TROUBLE") != "0", record) }()
	select {
	case code := <-done:
		return code
	case <-signals:
		return exitNotRun
	}
}
