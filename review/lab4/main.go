// Command lab4 runs the scripted cases of the third review: it starts instances of the program
// with stand-ins for the platform's store, upstreams and callers on loopback addresses, causes
// one disruption, and judges a rule by what the stand-ins have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// options are the settings of a case.
type options struct {
	program string
	trouble bool
	record  *record
}

var errUsage = errors.New("usage: lab4 -program FILE -record FILE [-calm] CASE")

var cases = map[string]func(options) (verdict, error){
	"repeats":      runRepeats,
	"retry-after":  runRetryAfter,
	"silent-peers": runSilentPeers,
}

func main() {
	program := flag.String("program", "target/acaciavane", "the program under test")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	calm := flag.Bool("calm", false, "run without the disruption")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *program, *recordFile, !*calm))
}

func runCase(name, program, recordFile string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	result, err := run(options{program: program, trouble: trouble, record: rec})
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	rec.note("%s", result.text)
	fmt.Println(result.text)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
