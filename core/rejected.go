package core

// RejectedReply describes a reply that could not be used.
type RejectedReply struct {
	// Status is the HTTP status, or zero if no head was read or the status is 000.
	Status int
	// Signature is the signature of the reply, or the signatures separated by commas if the head
	// consists of parts of several.
	Signature string
	// Defect is set for a FailureBadReply.
	Defect ReplyDefect
	// ExtraInput is whether the connection carried input that is no reply to the request.
	ExtraInput bool
}

// ReplyDefect says why a reply is not taken for the whole reply to its request.
type ReplyDefect string

// The defects of replies.
const (
	DefectOther ReplyDefect = ""
	// DefectForeign means that the reply belongs to another request.
	DefectForeign ReplyDefect = "anotherRequest"
	// DefectAmbiguous means that the reply names several requests or runs.
	DefectAmbiguous ReplyDefect = "ambiguous"
	// DefectOverlap means that another reply begins inside the reply.
	DefectOverlap ReplyDefect = "overlap"
	// DefectUnsigned means that a success has no signature.
	DefectUnsigned ReplyDefect = "noSignature"
	DefectTooLarge ReplyDefect = "tooLarge"
	// DefectStatus means that the status is not one that a response may have.
	DefectStatus ReplyDefect = "invalidStatus"
)

// The messages of log lines by which a signature is traced.
const (
	MessageAttemptFailed = "attempt failed"
	// MessageLateFailure is logged for an attempt whose result was not needed any more.
	MessageLateFailure = "attempt failed after the answer"
	MessagePartsMerged = "parts merged"
	MessageExtraInput  = "upstream sends what was not asked for"
)

// maxLoggedSignatureBytes is the length at which signatures are cut in the log. Upstreams choose
// them.
const maxLoggedSignatureBytes = 128

// LoggedSignature returns the form in which the log has a signature.
func LoggedSignature(signature string) string {
	return signature[:min(len(signature), maxLoggedSignatureBytes)]
}

// hasHead reports whether the head of a reply was read.
func (r RejectedReply) hasHead() bool { return r.Status != 0 || r.Defect == DefectStatus }

// rejected describes the reply of a failed attempt.
func (r routedResult) rejected() RejectedReply {
	rejected := r.failure.Rejected
	if !rejected.hasHead() {
		rejected.Status, rejected.Signature = r.reply.Status, r.reply.Signature
		rejected.ExtraInput = rejected.ExtraInput || r.reply.ExtraInput
	}
	return rejected
}

// close ends the use of results.
func (d *dispatch) close() {
	d.closed.Store(true)
	d.recordUnused()
}

// recordUnused records the results that arrived after run had returned.
func (d *dispatch) recordUnused() {
	for {
		select {
		case result := <-d.results:
			if result.failure != nil {
				d.recordLateFailure(result)
			}
		default:
			return
		}
	}
}

// recordLateFailure counts and logs the rejected reply of an attempt whose result is not needed any
// more. Most attempts without one failed because they were cancelled.
func (d *dispatch) recordLateFailure(result routedResult) {
	rejected := result.rejected()
	cancelled := result.failure.Kind == FailureTimeout && !rejected.ExtraInput
	if cancelled || rejected == (RejectedReply{}) {
		return
	}
	d.countRejected(result)
	d.logFailure(MessageLateFailure, result)
}

// logFailure logs a failed attempt with the reply that was rejected, if any.
func (d *dispatch) logFailure(event string, result routedResult) {
	failure, rejected := result.failure, result.rejected()
	fields := []any{"service", d.service, "upstream", result.permit.Target().Name,
		"failure", string(failure.Kind), "detail", failure.Error()}
	if rejected.hasHead() {
		fields = append(fields, "status", rejected.Status)
	}
	if rejected.Signature != "" {
		fields = append(fields, "signature", LoggedSignature(rejected.Signature))
	}
	if rejected.Defect != DefectOther {
		fields = append(fields, "defect", string(rejected.Defect))
	}
	if rejected.ExtraInput {
		fields = append(fields, "extraInput", true)
	}
	d.router.logEvent(d.request, event, fields...)
}

// logExtraInput logs an accepted reply whose connection carried other input, too: it may be a copy of
// another reply.
func (d *dispatch) logExtraInput(result routedResult) {
	if !result.reply.ExtraInput {
		return
	}
	d.router.logEvent(d.request, "reply accepted beside extra input", "service", d.service,
		"upstream", result.permit.Target().Name, "status", result.reply.Status,
		"signature", LoggedSignature(result.reply.Signature), "extraInput", true)
}

// countRejected counts the rejected reply of a shard, by its status and its defect.
func (d *dispatch) countRejected(result routedResult) {
	if !d.route.Scattered() {
		return
	}
	rejected := result.rejected()
	if counter, ok := unmergedCounter(rejected.Status); ok {
		d.router.Counters.Add(counter, 1)
	}
	if result.failure.Kind == FailureBadReply {
		d.router.Counters.Add(defectCounter(rejected.Defect), 1)
	}
}

// unmergedCounter returns the counter of unmerged replies with the status. There is none for a
// success.
func unmergedCounter(status int) (Counter, bool) {
	switch status / 100 {
	case 1:
		return CountUnmerged1xx, true
	case 3:
		return CountUnmerged3xx, true
	case 4:
		return CountUnmerged4xx, true
	case 5:
		return CountUnmerged5xx, true
	}
	return 0, false
}

// defectCounter returns the counter of replies with the defect.
func defectCounter(defect ReplyDefect) Counter {
	switch defect {
	case DefectForeign:
		return CountBadForeign
	case DefectAmbiguous:
		return CountBadAmbiguous
	case DefectOverlap:
		return CountBadOverlap
	case DefectUnsigned:
		return CountBadUnsigned
	case DefectTooLarge:
		return CountBadTooLarge
	case DefectStatus:
		return CountBadStatus
	}
	return CountBadOther
}
