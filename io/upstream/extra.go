package upstream

import (
	"sync"

	"github.com/go-logr/logr"

	"acaciavane/core"
)

// extraInput is input of an upstream that is no reply to the request on its connection, such as
// the second copy of a reply. It ends its connection, so an upstream that replies twice costs one
// connection for each copy, and a connection is replaced after reconnectDelayMillis at the
// earliest.
type extraInput string

const (
	// extraReply is a reply to another request.
	extraReply extraInput = "reply to another request"
	// extraAfterReply is input right after a reply.
	extraAfterReply extraInput = "bytes after a reply"
	// extraInsideReply is a reply that begins inside another one.
	extraInsideReply extraInput = "reply inside a reply"
	// extraWhileIdle is input on a connection that carries no request.
	extraWhileIdle extraInput = "bytes without a request"
)

// extraLogInterval is the shortest time between two log lines about one upstream.
const extraLogInterval = 10 * core.Second

// extraWatchMillis is how long the end of a body is watched more closely after an extra input.
const extraWatchMillis = core.Minute

// extraLog counts and logs the extra input of each upstream.
type extraLog struct {
	clock core.Clock
	log   logr.Logger

	mu        sync.Mutex
	upstreams map[string]*extraCount
}

// extraCount counts the extra input of one upstream.
type extraCount struct {
	total, logged int64
	// loggedAt is when the last line was logged.
	loggedAt core.Millis
}

// add counts one extra input and logs it, at most once in extraLogInterval for each upstream.
func (l *extraLog) add(target core.Target, input extraInput, signature string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, known := l.upstreams[target.Name]
	if !known {
		count = &extraCount{}
		l.upstreams[target.Name] = count
	}
	count.total++
	if known && l.clock.Since(count.loggedAt) < extraLogInterval {
		return
	}
	fields := []any{"upstream", target.Name, "service", target.Service, "input", string(input), "times", count.total - count.logged}
	if signature != "" {
		fields = append(fields, "signature", core.LoggedSignature(signature))
	}
	l.log.Info(core.MessageExtraInput, fields...)
	count.logged, count.loggedAt = count.total, l.clock.Now()
}

// retain forgets all upstreams but the named ones.
func (l *extraLog) retain(names core.Set[string]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.upstreams {
		if !names.Has(name) {
			delete(l.upstreams, name)
		}
	}
}

// counts returns how often each upstream sent extra input.
func (l *extraLog) counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int64, len(l.upstreams))
	for name, count := range l.upstreams {
		counts[name] = count.total
	}
	return counts
}

// LogTo has the client log extra input of upstreams. It is called before the client is used.
func (c *Client) LogTo(log logr.Logger) {
	c.extra.log = log
}

// ExtraInputs returns how often each upstream sent input that belongs to no request. Upstreams
// that did not are left out.
func (c *Client) ExtraInputs() map[string]int64 {
	return c.extra.counts()
}

// recordExtra counts and logs an extra input. signature is that of a reply to another request.
func (c *Client) recordExtra(pool *connPool, input extraInput, signature string) {
	c.counters.Add(core.CountExtraInputs, 1)
	pool.watchedUntil.Store(int64(c.clock.Now() + extraWatchMillis))
	c.extra.add(pool.target, input, signature)
}
