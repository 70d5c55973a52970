package operator

import (
	"fmt"
	"slices"
	"strings"

	"acaciavane/core"
)

// copyDefects are the defects of replies that may be a copy of another reply, or joined with one.
var copyDefects = core.NewSet(string(core.DefectForeign), string(core.DefectAmbiguous), string(core.DefectOverlap))

// SignatureTrace holds the lines that name one signature, in order of time.
type SignatureTrace struct {
	// Failed are the attempts that failed with the signature, Merged the answers that contain it, and
	// Copied the lines about replies with it that may be copies, or joined with another reply.
	Failed, Merged, Copied []LogLine
	// LeftOut is how many lines about failed attempts the logs lack.
	LeftOut int

	signature string
	// logged is the signature as the log has it.
	logged string
}

// TraceSignature returns the lines that name the signature.
func TraceSignature(lines []LogLine, signature string) SignatureTrace {
	t := SignatureTrace{signature: signature, logged: core.LoggedSignature(signature)}
	for _, line := range sortedByTime(lines) {
		failed := line.Message == core.MessageAttemptFailed || line.Message == core.MessageLateFailure
		if failed {
			t.LeftOut += line.LeftOut
		}
		named := slices.Contains(line.Signatures, t.logged)
		switch {
		case line.Message == core.MessagePartsMerged && t.partOf(line) != "":
			t.Merged = append(t.Merged, line)
		case named && (line.ExtraInput || copyDefects.Has(line.Defect) || line.Message == core.MessageExtraInput):
			t.Copied = append(t.Copied, line)
		case named && failed:
			t.Failed = append(t.Failed, line)
		}
	}
	return t
}

// partOf returns the description of the part with the signature, or an empty string.
func (t SignatureTrace) partOf(line LogLine) string {
	for _, part := range line.Parts {
		if strings.HasSuffix(part, " "+t.logged) {
			return part
		}
	}
	return ""
}

// IsEmpty reports whether no line names the signature.
func (t SignatureTrace) IsEmpty() bool {
	return len(t.Failed)+len(t.Merged)+len(t.Copied) == 0
}

// Timeline returns the lines that name the signature and the timelines of their requests, in order of
// time.
func (t SignatureTrace) Timeline(lines []LogLine) []LogLine {
	named := map[string]bool{}
	scopes := map[string]requestScope{}
	sorted := sortedByTime(lines)
	for _, line := range slices.Concat(t.Failed, t.Merged, t.Copied) {
		named[line.Text] = true
		if _, known := scopes[line.Request]; !known && line.Request != "" {
			scopes[line.Request] = newRequestScope(sorted, line.Request)
		}
	}
	return slices.DeleteFunc(sorted, func(line LogLine) bool {
		included := named[line.Text]
		for _, scope := range scopes {
			included = included || scope.includes(line)
		}
		return !included
	})
}

// Conclusion says in one sentence what the lines show.
func (t SignatureTrace) Conclusion() string {
	var text string
	switch {
	case len(t.Copied) > 0:
		first := t.Copied[0]
		text = fmt.Sprintf("%s read signature %s from %s in a copy of a reply, or beside one", first.Instance, t.signature, first.Upstream)
	case len(t.Failed) > 0:
		first := t.Failed[0]
		text = fmt.Sprintf("%s recorded that the attempt of request %s at %s failed with signature %s",
			first.Instance, first.Request, first.Upstream, t.signature)
	default:
		text = "no instance recorded a failure with signature " + t.signature
	}
	if len(t.Merged) > 0 {
		first := t.Merged[0]
		text += fmt.Sprintf("; %s merged it for request %s: %s", first.Instance, first.Request, t.partOf(first))
	}
	if t.LeftOut > 0 {
		text += fmt.Sprintf(" (the logs lack %d lines about failed attempts)", t.LeftOut)
	}
	return text
}
