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

// ErrMalformedLog means that a line of a log is not a JSON object as this program writes it.
var ErrMalformedLog = errors.New("malformed log line")

const (
	// logBufferBytes is the size of the buffer in which lines are read.
	logBufferBytes = 1 << 20
	// contextBefore is how long before a request's first line the lines about its services,
	// upstreams and dependencies are included.
	contextBefore = 10 * time.Second
)

// LogLine is a decoded line of an instance's log.
type LogLine struct {
	Time     time.Time
	Message  string
	Instance string
	Request  string
	// Service, Upstream and Shards are the fields that say which services and upstreams
	// the line is about.
	Service  string
	Upstream string
	Shards   string
	// Signatures are the signatures of the reply that the line is about.
	Signatures []string
	// Parts are the descriptions of the parts of an answer, each with its signature at the end.
	Parts []string
	// Defect and ExtraInput describe the reply of an attempt.
	Defect     string
	ExtraInput bool
	// LeftOut is how many lines with the same message were left out before this one.
	LeftOut int
	// Text is the line as it was read.
	Text string
}

// wireLine holds the JSON fields that LogLine needs.
type wireLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Shards   shardList `json:"shards"`

	Signature  string   `json:"signature"`
	Parts      partList `json:"parts"`
	Defect     string   `json:"defect"`
	ExtraInput bool     `json:"extraInput"`
	LeftOut    int      `json:"leftOut"`
}

// shardList is the text that names shards. Some lines of former versions have their number there,
// which names none.
type shardList string

// UnmarshalJSON implements json.Unmarshaler.
func (s *shardList) UnmarshalJSON(raw []byte) error {
	if len(raw) == 0 || raw[0] != '"' {
		return nil
	}
	return json.Unmarshal(raw, (*string)(s))
}

// partList holds the descriptions of the parts of an answer. Lines of other kinds may have something else
// there.
type partList []string

// UnmarshalJSON implements json.Unmarshaler.
func (p *partList) UnmarshalJSON(raw []byte) error {
	if err := json.Unmarshal(raw, (*[]string)(p)); err != nil {
		*p = nil
	}
	return nil
}

// lineStart is the beginning of each line.
const lineStart = `{"time":`

// ReadLog reads the lines of a log. A process that is killed may leave its last line
// incomplete, and the next process then appends its first line to it. Such an incomplete
// line is skipped and reported by truncated. Errors contain the name of the log and the
// line number.
func ReadLog(name string, from io.Reader) (lines []LogLine, truncated bool, err error) {
	reader := bufio.NewReaderSize(from, logBufferBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && text == "" {
			return lines, truncated, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, false, fmt.Errorf("read %s: line %d: %w", name, number, err)
		}
		line, decodeErr := decodeLine(strings.TrimSpace(text))
		if at := strings.LastIndex(text, lineStart); decodeErr != nil && at > 0 {
			truncated = true
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
		Service: wire.Service, Upstream: wire.Upstream, Shards: string(wire.Shards), Text: text,
		Signatures: strings.Split(wire.Signature, ", "), Parts: wire.Parts, Defect: wire.Defect, ExtraInput: wire.ExtraInput, LeftOut: wire.LeftOut,
	}, nil
}

// dependencyMessages are the messages about the state of an instance and of the platform,
// on which the instance's requests depend.
var dependencyMessages = []string{
	"platform lost", "platform regained", "readiness changed", "configuration in force", "evacuation changed", "instance started",
	"settings reloaded", "log lines dropped", "tokens not received",
}

// RequestTimeline returns the lines about a request in order of time. It includes the lines
// about the request's services, upstreams and dependencies that the same instances wrote,
// from contextBefore ahead of the request's first line until its last line. The result is
// empty if no line names the request.
func RequestTimeline(lines []LogLine, request string) []LogLine {
	sorted := sortedByTime(lines)
	scope := newRequestScope(sorted, request)
	if scope.last.IsZero() {
		return nil
	}
	return slices.DeleteFunc(sorted, func(line LogLine) bool { return !scope.includes(line) })
}

// sortedByTime returns the lines in order of time.
func sortedByTime(lines []LogLine) []LogLine {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return sorted
}

// requestScope holds the instances, services and upstreams that a request's lines name, and
// the times of its first and last line.
type requestScope struct {
	request     string
	instances   map[string]bool
	services    map[string]bool
	upstreams   map[string]bool
	first, last time.Time
}

func newRequestScope(lines []LogLine, request string) requestScope {
	s := requestScope{request: request, instances: map[string]bool{}, services: map[string]bool{}, upstreams: map[string]bool{}}
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

// includes reports whether the line is about the request, or about its services, upstreams
// and dependencies.
func (s requestScope) includes(line LogLine) bool {
	if line.Request != "" {
		return line.Request == s.request
	}
	if !s.instances[line.Instance] || line.Time.After(s.last) || line.Time.Before(s.first.Add(-contextBefore)) {
		return false
	}
	return s.services[line.Service] || s.upstreams[line.Upstream] || slices.Contains(dependencyMessages, line.Message)
}
