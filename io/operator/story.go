package operator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrMalformedLog means that a line of a log is not one of this program's.
var ErrMalformedLog = errors.New("malformed log line")

const (
	// maxLogLineBytes bounds one line of a log.
	maxLogLineBytes = 1 << 20
	// contextBefore is how long before a request's first line the state of its
	// services and dependencies is of interest.
	contextBefore = 10 * time.Second
)

// LogLine is one line of an instance's log.
type LogLine struct {
	Time     time.Time
	Message  string
	Instance string
	Request  string
	// Service, Upstream and Shards say what the line is about.
	Service  string
	Upstream string
	Shards   string
	// Text is the line as it was written.
	Text string
}

// wireLine are the fields of a line that a story needs.
type wireLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Shards   string    `json:"shards"`
}

// lineStart is how each line begins.
const lineStart = `{"time":`

// ReadLog reads the lines of a log. What a process that was killed left of its last
// line is passed over and reported by cut, also where its successor wrote on behind
// it; errors name the log and the line's number.
func ReadLog(name string, from io.Reader) (lines []LogLine, cut bool, err error) {
	reader := bufio.NewReaderSize(from, maxLogLineBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && text == "" {
			return lines, cut, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, false, fmt.Errorf("read %s: line %d: %w", name, number, err)
		}
		line, decodeErr := decodeLine(strings.TrimSpace(text))
		if at := strings.LastIndex(text, lineStart); decodeErr != nil && at > 0 {
			cut = true
			line, decodeErr = decodeLine(strings.TrimSpace(text[at:]))
		}
		switch {
		case decodeErr != nil && errors.Is(err, io.EOF):
			return lines, true, nil
		case decodeErr != nil:
			return nil, false, fmt.Errorf("%w: %s: line %d: %w", ErrMalformedLog, name, number, decodeErr)
		}
		lines = append(lines, line)
	}
}

func decodeLine(text string) (LogLine, error) {
	var wire wireLine
	if err := json.Unmarshal([]byte(text), &wire); err != nil {
		return LogLine{}, err
	}
	return LogLine{
		Time: wire.Time, Message: wire.Message, Instance: wire.Instance, Request: wire.Request,
		Service: wire.Service, Upstream: wire.Upstream, Shards: wire.Shards, Text: text,
	}, nil
}

// dependencyMessages are the lines about what an instance depends on.
var dependencyMessages = []string{
	"platform lost", "platform regained", "readiness changed", "configuration in force", "instance started",
	"settings reloaded", "log lines dropped",
}

// Story returns the lines about a request in the order of time, with what the
// instances concerned wrote shortly before of its services, upstreams and
// dependencies. It is empty where no line names the request.
func Story(lines []LogLine, request string) []LogLine {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	about := newSubject(sorted, request)
	if about.last.IsZero() {
		return nil
	}
	return slices.DeleteFunc(sorted, func(line LogLine) bool { return !about.concerns(line) })
}

// subject is what a request's lines name.
type subject struct {
	request     string
	instances   map[string]bool
	services    map[string]bool
	upstreams   map[string]bool
	first, last time.Time
}

func newSubject(lines []LogLine, request string) subject {
	s := subject{request: request, instances: map[string]bool{}, services: map[string]bool{}, upstreams: map[string]bool{}}
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		if s.first.IsZero() {
			s.first = line.Time
		}
		s.last = line.Time
		s.instances[line.Instance] = true
		s.services[line.Service] = true
		s.upstreams[line.Upstream] = true
		for _, shard := range strings.Fields(line.Shards) {
			service, _, _ := strings.Cut(shard, ":")
			s.services[service] = true
		}
	}
	delete(s.services, "")
	delete(s.upstreams, "")
	return s
}

func (s subject) concerns(line LogLine) bool {
	if line.Request != "" {
		return line.Request == s.request
	}
	if !s.instances[line.Instance] || line.Time.After(s.last) || line.Time.Before(s.first.Add(-contextBefore)) {
		return false
	}
	return s.services[line.Service] || s.upstreams[line.Upstream] || slices.Contains(dependencyMessages, line.Message)
}
