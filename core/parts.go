package core

import (
	"slices"
	"strconv"
	"strings"
)

// maxNamedParts is the maximum number of parts named in a log line.
const maxNamedParts = 128

// part returns the part of a shard that has replied.
func (r shardResult) part() Part {
	d := r.dispatch
	source := SourceDirect
	if d.used == d.hedged || d.besideGroup {
		source = SourceHedge
	}
	return Part{
		Service: d.service, Signature: r.reply.Signature, Records: r.reply.Body,
		Sender: d.used.target.Name, Source: source, Status: r.reply.Status,
	}
}

// countParts counts the parts by their source. It names the gatherers only if the answer is logged.
func (s *scatterGather) countParts() PartCounts {
	counts := PartCounts{Rejected: s.rejected}
	for _, part := range s.parts {
		switch part.Source {
		case SourceDirect:
			counts.Direct++
		case SourceHedge:
			counts.Hedges++
		case SourceGroup:
			counts.Groups++
		}
	}
	logged := len(s.parts) < len(s.route.Shards) || s.rejected > 0 || s.router.Log.V(1).Enabled()
	if counts.Groups > 0 && logged {
		counts.Gatherers = s.gatherers()
	}
	return counts
}

// gatherers names up to maxNamedShards of the instances that gathered parts.
func (s *scatterGather) gatherers() string {
	var names []string
	for _, part := range s.parts {
		if part.Source != SourceGroup || slices.Contains(names, part.Sender) {
			continue
		}
		if len(names) == maxNamedShards {
			names = append(names, "...")
			break
		}
		names = append(names, part.Sender)
	}
	return strings.Join(names, " ")
}

// logFields returns the counts as fields of a log line, and none if there are no parts.
func (c PartCounts) logFields() []any {
	if c.Direct+c.Hedges+c.Groups == 0 {
		return nil
	}
	fields := []any{"direct", c.Direct, "hedges", c.Hedges, "groups", c.Groups, "rejected", c.Rejected}
	if c.Gatherers != "" {
		fields = append(fields, "gatherers", c.Gatherers)
	}
	return fields
}

// logParts logs the parts of a sample of the answers.
func (r *Router) logParts(request RoutedRequest, parts []Part) {
	if len(parts) == 0 || !r.partsDue() {
		return
	}
	var described []string
	for _, part := range parts[:min(len(parts), maxNamedParts)] {
		described = append(described, part.describe())
	}
	r.logEvent(request, MessagePartsMerged, "count", len(parts), "parts", described)
}

// partsDue reports whether the parts of an answer are to be logged now.
func (r *Router) partsDue() bool {
	interval := PartsLogIntervalMillis
	if r.Log.V(1).Enabled() {
		interval = PartsLogDebugMillis
	}
	now, logged := int64(r.Clock.Now()), r.partsLogged.Load()
	return now-logged >= int64(interval) && r.partsLogged.CompareAndSwap(logged, now)
}

// describe returns the service, the sender, the source, the status and the signature of the part,
// separated by spaces. The signature is the last one, because it may contain spaces.
func (p Part) describe() string {
	return strings.Join([]string{p.Service, p.Sender, p.Source.String(), strconv.Itoa(p.Status), LoggedSignature(p.Signature)}, " ")
}

// logReport logs what a report on a group contains: the shards without a reply, and the parts like those
// of an answer.
func (s *scatterGather) logReport(report GroupReport, parts []Part) {
	s.router.logParts(s.request, parts)
	if missing := len(report.Failed) + len(report.NotRun); missing > 0 {
		s.router.logEvent(s.request, "shards reported without a reply", "missing", missing,
			"shards", strings.Join(s.unreplied(report), " "))
	}
}

// unreplied returns the names of up to maxNamedShards shards without a reply, each with the reason, and
// "..." if there are more.
func (s *scatterGather) unreplied(report GroupReport) []string {
	var names []string
	for i, shard := range slices.Concat(report.Failed, report.NotRun) {
		if i == maxNamedShards {
			return append(names, "...")
		}
		state := ":failed"
		if i >= len(report.Failed) {
			state = ":notRun"
		}
		names = append(names, s.route.Shards[shard]+state)
	}
	return names
}
