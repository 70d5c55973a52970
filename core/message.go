package core

// Field is one header field of a message.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's request that is passed on without being read.
type Message struct {
	Method string
	// Host is the authority that the caller named.
	Host string
	// Target is the path with its query, byte for byte.
	Target string
	// Fields are the header fields that are passed on.
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

// RoutedRequest is one opaque request of a caller.
type RoutedRequest struct {
	// ID is the caller's identity for this attempt of its own. Upstreams repeat it.
	ID      string
	Message Message
	// Arrived is when the request was read.
	Arrived Millis
	// Deadline is when the caller stops waiting, or zero.
	Deadline Millis

	fingerprint string
}

// newFingerprint identifies requests that make upstreams do the same work.
func (r RoutedRequest) newFingerprint() string {
	return fingerprintOf(r.Message.Host, r.Message.Method, r.Message.Target, string(r.Message.Body))
}

// DelegatedRequest is a routed request that one instance has another one answer.
type DelegatedRequest struct {
	Request RoutedRequest
	// ConfigurationVersion is the configuration that the request is answered under.
	ConfigurationVersion uint64
	// Configuration is set when the receiver has said that it lacks it.
	Configuration []byte
	// Elapsed is how long ago the request arrived, and Left the time for its answer.
	Elapsed Millis
	Left    Millis
}

// DelegatedAnswer is the answer to a delegated request.
type DelegatedAnswer struct {
	Answer RoutedAnswer
	// Configuration is the one in force, when it is newer than the request's.
	Configuration []byte
}

// RoutedReply is a whole reply of an upstream to a routed request.
type RoutedReply struct {
	Status int
	Fields []Field
	Body   []byte
	// Signature is the upstream's proof that it ran the request.
	Signature string
	// Load is what the upstream said of its load, if anything.
	Load Option[UpstreamLoad]
}

// Success reports whether the upstream answered the request.
func (r RoutedReply) Success() bool {
	return r.Status >= 200 && r.Status < 300
}

// UpstreamLoad is an upstream's own account of its load.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Part is the reply of one shard.
type Part struct {
	Service   string
	Signature string
	Records   []byte
}

// RoutedAnswer is what the caller of a routed request gets.
type RoutedAnswer struct {
	Outcome Outcome
	Reason  Reason
	// Detail explains the reason to a person.
	Detail string
	// Route names the route that was taken, and ConfigurationVersion the
	// configuration that it stands in.
	Route                string
	ConfigurationVersion uint64
	// Service is the one destination that was asked, if there was one.
	Service string
	// Shards names shards that are missing, with the reason, for the log.
	Shards string
	// Reply is set when one upstream answered.
	Reply Option[RoutedReply]
	// Merged is set when several shards answered.
	Merged Option[MergedReply]
	// RetryAfter is when a refused caller had better come again.
	RetryAfter Millis
	// MoveOn asks the caller to open another connection for its next request.
	MoveOn bool
	// Attempts is the number of requests sent to upstreams.
	Attempts int
	// Delegate is the instance that sent them, if it was another one.
	Delegate string
}

// MergedReply is the merged answer of several shards.
type MergedReply struct {
	// Signatures are those of the parts that are included.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
	// Records are the greatest records of the parts, greatest first.
	Records []byte
}
