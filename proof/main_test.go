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
	recordCount = 2000
	callTimeout = 8 * time.Second
)

var binaries lab.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "acaciavane-proof-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err = lab.Build("..", folder)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	return m.Run()
}

// startCluster starts a cluster that ends with the test. Its logs are kept when
// the test fails and ACACIAVANE_LOGS names a folder.
func startCluster(t *testing.T, options lab.Options) *lab.Cluster {
	t.Helper()
	options.Binaries = binaries
	options.Folder = t.TempDir()
	if keep := os.Getenv("ACACIAVANE_LOGS"); keep != "" {
		options.Folder = filepath.Join(keep, t.Name())
		if err := os.MkdirAll(options.Folder, 0o755); err != nil {
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

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// sent is one request with its answer.
type sent struct {
	entry    string
	request  caller.RequestBody
	started  time.Time
	answered time.Time
	answer   caller.AnswerBody
	err      error
}

func ask(entry *lab.Entry, request caller.RequestBody) sent {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s := sent{entry: entry.Name, request: request, started: time.Now()}
	s.answer, s.err = client.Query(ctx, request)
	s.answered = time.Now()
	return s
}

// load sends requests at fixed intervals, whether or not earlier ones were
// answered, until it is stopped.
type load struct {
	stop chan struct{}
	done chan struct{}

	mu   sync.Mutex
	sent []sent
}

func startLoad(perSecond int, entry func(i int) *lab.Entry, request func(i int) caller.RequestBody) *load {
	l := &load{stop: make(chan struct{}), done: make(chan struct{})}
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
			to := entry(i)
			if to == nil {
				continue
			}
			running.Add(1)
			go func() {
				defer running.Done()
				s := ask(to, request(i))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent = append(l.sent, s)
			}()
		}
	}()
	return l
}

// end stops the load and returns all requests with their answers.
func (l *load) end() []sent {
	close(l.stop)
	<-l.done
	return l.sent
}

// inTurn sends requests to the cluster's instances one after the other.
func inTurn(cluster *lab.Cluster) func(i int) *lab.Entry {
	entries := cluster.Entries
	return func(i int) *lab.Entry { return entries[i%len(entries)] }
}

func find(i int) caller.RequestBody {
	return caller.RequestBody{Collection: "items", Kind: "find", Body: fmt.Sprint("query ", i)}
}

// askedKeys returns the keys of the records that a request asks for.
func askedKeys(request caller.RequestBody) []string {
	if request.Key != "" {
		return []string{request.Key}
	}
	keys := make([]string, recordCount)
	for i := range keys {
		keys[i] = fmt.Sprintf("item-%05d", i)
	}
	return keys
}

// checkAnswer compares an answer with the truth: one snapshot, each record of
// the covered part once, none of the missing part.
func checkAnswer(request caller.RequestBody, answer caller.AnswerBody) error {
	if answer.Outcome != string(core.OutcomeAnswered) {
		return nil
	}
	var missing []core.KeyRange
	for _, r := range answer.Coverage.Missing {
		missing = append(missing, core.KeyRange{Start: r.Start, End: r.End})
	}
	gaps := core.NewRangeSet(missing...)
	if gaps.Size()+answer.Coverage.Covered != answer.Coverage.Total {
		return fmt.Errorf("covered %d and missing %d are not the total %d", answer.Coverage.Covered, gaps.Size(), answer.Coverage.Total)
	}
	values := map[string]string{}
	for _, record := range answer.Records {
		if _, twice := values[record.Key]; twice {
			return fmt.Errorf("record %s came twice", record.Key)
		}
		values[record.Key] = record.Value
	}
	want := fmt.Sprintf("snapshot %d", answer.Snapshot)
	for _, key := range askedKeys(request) {
		value, present := values[key]
		if gaps.Contains(core.Position(key)) == present {
			return fmt.Errorf("record %s: present %t, but its position counts as covered %t", key, present, !present)
		}
		if present && value != want {
			return fmt.Errorf("record %s is from %q in an answer from %q", key, value, want)
		}
		delete(values, key)
	}
	if len(values) > 0 {
		return fmt.Errorf("%d records that do not exist", len(values))
	}
	return nil
}

// tally counts answers and fails the test for each that is not true.
type tally struct {
	answered, whole, notRun, unknown, lost int
}

func count(t *testing.T, all []sent) tally {
	t.Helper()
	var c tally
	reasons := map[string]int{}
	for _, s := range all {
		if s.err != nil {
			c.lost++
			continue
		}
		if err := checkAnswer(s.request, s.answer); err != nil {
			t.Errorf("answer of %s: %v", s.entry, err)
		}
		if s.answer.Reason != "" {
			reasons[s.answer.Reason]++
		}
		switch core.Outcome(s.answer.Outcome) {
		case core.OutcomeAnswered:
			c.answered++
			if s.answer.Coverage.Covered == s.answer.Coverage.Total {
				c.whole++
			}
		case core.OutcomeNotRun:
			c.notRun++
		default:
			c.unknown++
		}
	}
	t.Logf("%d requests: %+v %v", len(all), c, reasons)
	return c
}

var errInFlight = errors.New("requests of callers that went away are still in flight")

// cancelledAsk sends a request and goes away before the answer.
func cancelledAsk(entry *lab.Entry, request caller.RequestBody) {
	client := entry.Client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, _ = client.Query(ctx, request)
}
