package core

import (
	"cmp"
	"slices"
)

// demand is what waits for a budget: bytes of all charges, bytes of charges of small accounts, and
// connections.
type demand struct {
	bytes, smallBytes int64
	connections       int
}

// add adds a charge of an account that holds the given bytes.
func (d *demand) add(held, bytes int64) {
	d.bytes += bytes
	if held+bytes <= SmallAccountBytes {
		d.smallBytes += bytes
	}
}

// sweep closes stalled connections if charges wait, at most every budgetSweepMillis.
func (b *ConnectionBudget) sweep() {
	now := b.clock.Now()
	b.mu.Lock()
	if now-b.sweptAt < budgetSweepMillis {
		b.mu.Unlock()
		return
	}
	b.sweptAt = now
	wanted := demand{}
	for _, charge := range b.waiting {
		wanted.add(charge.account.held, charge.bytes)
	}
	b.mu.Unlock()
	b.closeStalled(wanted)
}

// closeStalled closes stalled connections until the demand will be met.
func (b *ConnectionBudget) closeStalled(wanted demand) {
	now := b.clock.Now()
	b.mu.Lock()
	victims := b.selectLocked(now, wanted)
	for _, victim := range victims {
		victim.abortLocked()
	}
	b.mu.Unlock()
	b.abort(victims, now, false)
}

// selectLocked returns the connections to close: those with the largest product of bytes held and
// time stalled first. Idle connections are closed for small charges and for other connections, not
// for large charges: one large body would end many of them.
func (b *ConnectionBudget) selectLocked(now Millis, wanted demand) []*ConnectionAccount {
	missing, missingSmall, connections := b.missingLocked(wanted)
	if missing <= 0 && missingSmall <= 0 && connections <= 0 {
		return nil
	}
	var selected []*ConnectionAccount
	for _, account := range b.stalledAccountsLocked(now) {
		idle := account.phase == PhaseIdle
		if connections <= 0 && missingSmall <= 0 && (idle || missing <= 0) {
			continue
		}
		selected = append(selected, account)
		missing -= account.held
		missingSmall -= account.held
		connections--
	}
	return selected
}

// stalledAccountsLocked returns the connections that may be closed under pressure, the first to
// close first.
func (b *ConnectionBudget) stalledAccountsLocked(now Millis) []*ConnectionAccount {
	var stalled []*ConnectionAccount
	for account := range b.accounts {
		if account.stalledLocked(now) >= StallMillis {
			stalled = append(stalled, account)
		}
	}
	weight := func(a *ConnectionAccount) int64 { return a.held * int64(now-a.progressAt) }
	slices.SortFunc(stalled, func(x, y *ConnectionAccount) int { return cmp.Compare(weight(y), weight(x)) })
	return stalled
}

// missingLocked returns how much must be returned, beyond what will be, until the demand is met:
// bytes, bytes for small accounts, and connections.
func (b *ConnectionBudget) missingLocked(wanted demand) (missing, missingSmall int64, connections int) {
	if b.limits.Bytes > 0 {
		missing = wanted.bytes + b.used - b.returning - (b.limits.Bytes - b.reserved())
		missingSmall = wanted.smallBytes + min(b.used-b.returning-b.limits.Bytes, b.used-b.large-b.reserved())
	}
	if b.limits.Connections > 0 {
		connections = wanted.connections + len(b.accounts) - b.abortedLocked() - b.limits.Connections
	}
	if wanted.bytes == 0 {
		missing = 0
	}
	if wanted.smallBytes == 0 {
		missingSmall = 0
	}
	return missing, missingSmall, connections
}

// abortedLocked returns the number of connections that were closed and have not ended yet.
func (b *ConnectionBudget) abortedLocked() int {
	count := 0
	for account := range b.accounts {
		if account.aborted {
			count++
		}
	}
	return count
}

func (a *ConnectionAccount) abortLocked() {
	a.aborted = true
	a.budget.returning += a.held
}

// abort ends the network connections of accounts and reports them.
func (b *ConnectionBudget) abort(accounts []*ConnectionAccount, now Millis, timedOut bool) {
	for _, account := range accounts {
		account.abort()
		b.counters.Add(CountCallersClosed, 1)
		if b.onClose != nil {
			b.onClose(account.describe(now, timedOut))
		}
	}
}

func (a *ConnectionAccount) describe(now Millis, timedOut bool) ClosedConnection {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return ClosedConnection{Held: a.held, Stalled: now - a.progressAt, Phase: a.phase, TimedOut: timedOut}
}
