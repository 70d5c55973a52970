package upstream

import (
	"bytes"
	"net/http"

	"acaciavane/core"
)

// Replies without a length. Such a reply ends with its connection, so bytes of another reply inside
// its body displace nothing that could be noticed. Only a connection that has carried no other
// request can't deliver them. After such a reply was refused for that, its upstream gets one request for
// each connection for a while: other replies of it may be whole as well.

// singleUseMillis is how long the connections to an upstream carry one request each after a refused
// success without a length, or after another success without a length in that time.
const singleUseMillis = 10 * core.Second

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(head *http.Response, method string) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0 && method != http.MethodHead
}

// extendSingleUse has connections carry one request each for singleUseMillis from now on, if they do so
// already or if refused is set. It reports whether they carried more before.
func (p *connPool) extendSingleUse(refused bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := p.singleUseLocked()
	if active || refused {
		p.singleUseUntil = p.clock.Now() + singleUseMillis
	}
	return refused && !active
}

// singleUseLocked reports whether connections carry one request each. The caller holds the lock.
func (p *connPool) singleUseLocked() bool {
	return p.clock.Now() < p.singleUseUntil
}

// mayCarryLocked reports whether an idle connection may carry a request. The caller holds the lock.
func (p *connPool) mayCarryLocked(pooled *pooledConn) bool {
	return !pooled.hasCarriedAny() || !p.singleUseLocked()
}

// mayCarryMore reports whether a connection that has carried a request may carry one more.
func (p *connPool) mayCarryMore(pooled *pooledConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pooled.remembersAll() && !p.singleUseLocked()
}

// mayHoldCopy reports whether a body that ends with the connection may hold the first bytes of a
// reply to an earlier request on it.
func (p *pooledConn) mayHoldCopy(body []byte) bool {
	return p.reused && bytes.IndexByte(body, versionPrefix[0]) >= 0
}

// singleUseFor returns for how long connections carry one request each from now on.
func (p *connPool) singleUseFor() core.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.singleUseUntil-p.clock.Now())
}

// SingleUses returns for how long the connections to each upstream carry one request each. Upstreams
// whose connections carry several are left out.
func (c *Client) SingleUses() map[string]core.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := map[string]core.Millis{}
	for name, pool := range c.pools {
		if remaining := pool.singleUseFor(); remaining > 0 {
			uses[name] = remaining
		}
	}
	return uses
}

// recordNoLength records a success without a length, and logs it if it begins the single use of connections.
func (c *Client) recordNoLength(pool *connPool, refused bool) {
	if pool.extendSingleUse(refused) {
		c.extra.log.Info("upstream sends replies without a length; one request for each connection", "upstream", pool.target.Name,
			"service", pool.target.Service, "forMillis", int64(singleUseMillis))
	}
}
