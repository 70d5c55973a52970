package core

import (
	"cmp"
	"slices"
)

// Field is one header field of a message.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's HTTP request. Its fields and body are forwarded without being
// interpreted.
type Message struct {
	Method string
	// Host is the authority of the request.
	Host string
	// Target is the path with its query, exactly as received.
	Target string
	// Fields are the header fields that are forwarded.
	Fields []Field
	Body   []byte
}

// Path returns the target without its query.
func (m Message) Path() string {
	for i := range len(m.Target) {
		if m.Target[i] == '?' {
			return m.Target[:i]
		}
	}
	return m.Target
}

// RoutedRequest is a caller's request that is routed by its host and path.
type RoutedRequest struct {
	// ID identifies the request. The caller chooses it anew for each of its own attempts, and
	// upstreams return it in their replies.
	ID      string
	Message Message
	// Arrived is when the request was received.
	Arrived Millis
	// Deadline is when the caller stops waiting, or zero if it set none.
	Deadline Millis

	fingerprints fingerprints
}

// fingerprints are hashes by which a request is recognised when it comes again.
type fingerprints struct {
	// content is the same for requests with the same host, method, target and body.
	content string
	// sender is the same for requests that also have the same header fields, which name the caller.
	sender string
}

// all returns both hashes, the wider one first.
func (p fingerprints) all() [2]string { return [2]string{p.content, p.sender} }

// newFingerprints returns the hashes of the request. Header fields with the request's ID are left
// out, because it differs when the caller sends the request again.
func (r RoutedRequest) newFingerprints() fingerprints {
	content := fingerprintOf(r.Message.Host, r.Message.Method, r.Message.Target, string(r.Message.Body))
	fields := slices.DeleteFunc(slices.Clone(r.Message.Fields), func(f Field) bool { return f.Value == r.ID })
	slices.SortFunc(fields, func(a, b Field) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
	})
	parts := []string{content}
	for _, field := range fields {
		parts = append(parts, field.Name, field.Value)
	}
	return fingerprints{content: content, sender: fingerprintOf(parts...)}
}

// DelegatedRequest is a routed request that one instance delegates to another.
type DelegatedRequest struct {
	Request RoutedRequest
	// ConfigurationVersion is the version of the configuration to answer the request under.
	ConfigurationVersion uint64
	// Configuration is that configuration. It is set only after the receiver has reported that
	// it does not have it.
	Configuration []byte
	// Elapsed is the time since the request arrived, and Remaining the time until its deadline.
	Elapsed   Millis
	Remaining Millis
}

// DelegatedAnswer is the answer to a delegated request.
type DelegatedAnswer struct {
	Answer RoutedAnswer
	// Configuration is the one in force at the sender. It is set only if it is newer than the
	// request's.
	Configuration []byte
}

// RoutedReply is a complete reply of an upstream to a routed request.
type RoutedReply struct {
	Status int
	Fields []Field
	Body   []byte
	// Signature is the upstream's proof that it ran the request.
	Signature string
	// Load is the load that the upstream reported, if any.
	Load Option[UpstreamLoad]
	// LoadInvalid is whether a part of the reported load was invalid and left out.
	LoadInvalid bool
	// ExtraInput is whether the connection also carried input that is no reply to the request.
	ExtraInput bool
	// Limit is what the upstream said about its request limit.
	Limit LimitStatement
	// Signals is what the upstream stated about itself.
	Signals UpstreamSignals
}

// ValidStatus reports whether the number is a status that an HTTP response may have.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// Success reports whether the upstream answered the request, with a 2xx status.
func (r RoutedReply) Success() bool {
	return r.Status >= 200 && r.Status < 300
}

// UpstreamLoad is the load that an upstream reports. Running and Waiting count requests, Slots
// is the number of requests that it runs at once.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is by what factor work on the upstream's machine takes longer than usual at the
	// moment. Most upstreams don't report it.
	Slowdown Option[float64]
}

// Part is the reply of one shard, which is merged with those of the others.
type Part struct {
	Service   string
	Signature string
	Records   []byte
	// Sender is the upstream that replied, or the instance that gathered the part in a group.
	Sender string
	Source PartSource
	// Status is the status of the reply, or zero in a group.
	Status int
}

// PartSource says how a part was received.
type PartSource int

// The sources of parts.
const (
	SourceDirect PartSource = iota
	// SourceHedge means a second attempt beside a late one, or beside a group.
	SourceHedge
	// SourceGroup means that another instance gathered the part.
	SourceGroup
)

// String returns the name of the source in log lines.
func (s PartSource) String() string {
	return [...]string{SourceDirect: "direct", SourceHedge: "hedge", SourceGroup: "group"}[s]
}

// PartCounts counts the parts of a merged answer by their source.
type PartCounts struct {
	Direct int
	Hedges int
	Groups int
	// Gatherers names some of the instances that gathered groups, for the log.
	Gatherers string
	// Rejected is the number of replies of shards that were rejected and may have run, those of
	// late attempts not included. A shard that a group reports as failed counts as one.
	Rejected int
}

// RoutedAnswer is the answer to the caller of a routed request.
type RoutedAnswer struct {
	Outcome Outcome
	Reason  Reason
	// Detail is a human-readable explanation of the reason.
	Detail string
	// Route is the name of the route, and ConfigurationVersion the version of the
	// configuration that contains it.
	Route                string
	ConfigurationVersion uint64
	// Service is the service that was selected for the request, unless the route has shards.
	Service string
	// MissingShards lists some of the missing shards for the log, each with its state.
	MissingShards string
	// Reply is set when one upstream answered.
	Reply Option[RoutedReply]
	// Merged is set when several shards answered.
	Merged Option[MergedReply]
	// Parts says how this instance gathered the parts of Merged. It is zero if a delegate did.
	Parts PartCounts
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter Millis
	// CloseConnection asks the caller to open a new connection for its next request.
	CloseConnection bool
	// Attempts is the number of requests sent to upstreams.
	Attempts int
	// Delegate is the name of the instance that the request was delegated to, if any.
	Delegate string
}

// MergedReply is the merged answer of several shards.
type MergedReply struct {
	// Signatures are the signatures of the merged parts.
	Signatures []string
	// Missing is the number of shards without a part.
	Missing int
	// Records are the greatest records of the parts, in descending order.
	Records []byte
}
