package proof

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

const (
	recordCount = 2000 // records in each collection
	callTimeout = 8 * time.Second
)

var binaries lab.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "acaciavane-proof-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err = lab.Build("..", directory)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	return m.Run()
}

// startCluster starts a cluster that is closed when the test ends. If ACACIAVANE_LOGS
// names a directory, the logs are written to a subdirectory of it and kept.
func startCluster(t *testing.T, options lab.Options) *lab.Cluster {
	t.Helper()
	options.Binaries = binaries
	options.Directory = t.TempDir()
	if logs := os.Getenv("ACACIAVANE_LOGS"); logs != "" {
		options.Directory = filepath.Join(logs, t.Name())
		if err := os.MkdirAll(options.Directory, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	cluster, err := lab.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// must fails the test immediately if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// result is a request with its answer, or with the error that the client returned.
type result struct {
	entry    string
	request  caller.RequestBody
	started  time.Time
	answered time.Time
	answer   caller.AnswerBody
	err      error
}

// sendQuery sends a query to an instance and waits for the answer.
func sendQuery(entry *lab.Entry, request caller.RequestBody) result {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := result{entry: entry.Name, request: request, started: time.Now()}
	r.answer, r.err = client.Query(ctx, request)
	r.answered = time.Now()
	return r
}

// loadGenerator sends requests at fixed intervals until it is stopped. It does not wait
// for the answers to earlier requests.
type loadGenerator struct {
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	results []result
}

// startLoad starts a load generator. The functions pick and request choose the instance
// and the request for each tick; a tick without an instance sends nothing.
func startLoad(perSecond int, pick func(i int) *lab.Entry, request func(i int) caller.RequestBody) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		var running sync.WaitGroup
		ticks := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticks.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticks.C:
			case <-l.stop:
				running.Wait()
				return
			}
			entry := pick(i)
			if entry == nil {
				continue
			}
			running.Add(1)
			go func() {
				defer running.Done()
				r := sendQuery(entry, request(i))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.results = append(l.results, r)
			}()
		}
	}()
	return l
}

// finish stops the load generator, waits for outstanding answers and returns all results.
func (l *loadGenerator) finish() []result {
	close(l.stop)
	<-l.done
	return l.results
}

// roundRobin returns a function that picks the cluster's instances in turn.
func roundRobin(cluster *lab.Cluster) func(i int) *lab.Entry {
	entries := cluster.Entries
	return func(i int) *lab.Entry { return entries[i%len(entries)] }
}

// findRequest returns a search of all records of the collection items.
func findRequest(i int) caller.RequestBody {
	return caller.RequestBody{Collection: "items", Kind: "find", Body: fmt.Sprint("query ", i)}
}

// requestedKeys returns the keys of the records that a request asks for.
func requestedKeys(request caller.RequestBody) []string {
	if request.Key != "" {
		return []string{request.Key}
	}
	keys := make([]string, recordCount)
	for i := range keys {
		keys[i] = fmt.Sprintf("item-%05d", i)
	}
	return keys
}

// checkAnswer checks that an answer comes from one snapshot, contains each record of the
// covered key range once, and contains no record of the missing ranges. It accepts
// requests that were not answered.
func checkAnswer(request caller.RequestBody, answer caller.AnswerBody) error {
	if answer.Outcome != string(core.OutcomeAnswered) {
		return nil
	}
	var ranges []core.KeyRange
	for _, r := range answer.Coverage.Missing {
		ranges = append(ranges, core.KeyRange{Start: r.Start, End: r.End})
	}
	missing := core.NewRangeSet(ranges...)
	if missing.Size()+answer.Coverage.Covered != answer.Coverage.Total {
		return fmt.Errorf("covered size %d and missing size %d do not add up to total size %d", answer.Coverage.Covered, missing.Size(), answer.Coverage.Total)
	}
	values := map[string]string{}
	for _, record := range answer.Records {
		if _, duplicate := values[record.Key]; duplicate {
			return fmt.Errorf("duplicate record %s", record.Key)
		}
		values[record.Key] = record.Value
	}
	want := fmt.Sprintf("snapshot %d", answer.Snapshot)
	for _, key := range requestedKeys(request) {
		value, present := values[key]
		if missing.Contains(core.Position(key)) == present {
			return fmt.Errorf("record %s: present %t, but its position is reported as covered: %t", key, present, !present)
		}
		if present && value != want {
			return fmt.Errorf("record %s has value %q, want %q", key, value, want)
		}
		delete(values, key)
	}
	if len(values) > 0 {
		return fmt.Errorf("answer has %d records that were not requested or do not exist", len(values))
	}
	return nil
}

// answerCounts holds the number of results by outcome. complete is the number of answers
// with full coverage, overloaded the part of notRun that was refused as overloaded, and failed
// the number of requests whose client returned an error.
type answerCounts struct {
	answered, complete, notRun, overloaded, unknown, failed int
}

// reportShortfall fails the test because too few requests were answered. others is the number
// of requests that fell short for another reason than a refusal as overloaded. Without any, the
// message is the one that KNOWN-RED.txt lists, so that nothing else is taken for that finding.
func (c answerCounts) reportShortfall(t *testing.T, others int, want string) {
	t.Helper()
	if others > 0 || c.answered == 0 {
		t.Error(want)
		return
	}
	total := c.answered + c.notRun + c.unknown + c.failed
	t.Errorf("%d of %d requests refused as overloaded", c.overloaded, total)
}

// checkAnswers checks each answer, fails the test for each wrong one, and returns the
// number of results by outcome.
func checkAnswers(t *testing.T, results []result) answerCounts {
	t.Helper()
	var c answerCounts
	reasons := map[string]int{}
	for _, r := range results {
		if r.err != nil {
			c.failed++
			continue
		}
		if err := checkAnswer(r.request, r.answer); err != nil {
			t.Errorf("answer from %s: %v", r.entry, err)
		}
		if r.answer.Reason != "" {
			reasons[r.answer.Reason]++
		}
		switch core.Outcome(r.answer.Outcome) {
		case core.OutcomeAnswered:
			c.answered++
			if r.answer.Coverage.Covered == r.answer.Coverage.Total {
				c.complete++
			}
		case core.OutcomeNotRun:
			c.notRun++
			if r.answer.Reason == string(core.ReasonOverloaded) {
				c.overloaded++
			}
		default:
			c.unknown++
		}
	}
	t.Logf("%d requests: %+v %v", len(results), c, reasons)
	return c
}

var errInFlight = errors.New("requests of disconnected callers are still in flight")

// sendAndDisconnect sends a query and cancels it before the answer arrives.
func sendAndDisconnect(entry *lab.Entry, request caller.RequestBody) {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, _ = client.Query(ctx, request)
}
