package core

import (
	"context"
	"errors"
	"slices"
	"sync"
)

const (
	// ConnectionBytes is what an open connection takes without a request: a goroutine, a read
	// buffer and a write buffer.
	ConnectionBytes = 16 << 10
	// SmallAccountBytes is how much an account may hold to use the reserved part of a budget.
	SmallAccountBytes = 2 * ConnectionBytes
	// StallMillis is how long a connection makes no progress until it may be closed under
	// pressure. Lost packets are repeated several times in this time.
	StallMillis = Second
	// BudgetWaitMillis is how long a charge waits for a budget that is exhausted. It is longer
	// than StallMillis, so that stalled connections are closed before a request is refused.
	BudgetWaitMillis = 1500 * Millis(1)
	// progressBytes is how much must be read or written to count as progress.
	progressBytes = 1 << 10
	// progressDivisor divides the bytes that a connection holds. It must move that much to count
	// as progress, if that is more than progressBytes.
	progressDivisor = 64
	// reservedDivisor divides a budget. The result is reserved for small accounts.
	reservedDivisor = 4
	// callerMemoryDivisor divides the memory of an instance into the budget for callers. The rest
	// is for the program, for replies of upstreams and for garbage.
	callerMemoryDivisor = 4
	portMemoryDivisor   = 32
	// callerDescriptorsDivisor divides the descriptors of an instance into the connections of
	// callers. The rest is for upstreams, peers, the store and the other ports.
	callerDescriptorsDivisor = 2
	portDescriptorsDivisor   = 16
	// budgetSweepMillis is the time between two searches for stalled connections while a charge
	// or a connection waits.
	budgetSweepMillis = 50 * Millis(1)
)

// ErrBudgetExhausted means that a charge was refused because the memory is held for others.
var ErrBudgetExhausted = errors.New("the memory for callers is exhausted")

// errAccountClosed means that the connection was closed while it waited for its charge.
var errAccountClosed = errors.New("the connection is closed")

// ConnectionLimits bounds the memory and the number of connections. Zero means no bound.
type ConnectionLimits struct {
	Bytes       int64
	Connections int
}

// ConnectionTimeouts bounds how long a connection may take for a head and how long it may be idle.
// Zero means no bound.
type ConnectionTimeouts struct {
	Head Millis
	Idle Millis
}

// ConnectionPhase is what a connection is doing.
type ConnectionPhase int

// The phases of a connection. In PhaseIdle no request has begun. In PhaseExecuting it waits for the
// instance, in the others for its client.
const (
	PhaseIdle ConnectionPhase = iota
	PhaseHead
	PhaseBody
	PhaseExecuting
	PhaseAnswer
)

var phaseNames = [...]string{
	PhaseIdle: "idle", PhaseHead: "head", PhaseBody: "body", PhaseExecuting: "executing", PhaseAnswer: "answer",
}

// String returns the name of the phase in log lines.
func (p ConnectionPhase) String() string { return phaseNames[p] }

// ConnectionBudget decides how much memory the connections of clients may hold, how many there may
// be, and which are closed when memory or connections are exhausted.
type ConnectionBudget struct {
	clock    Clock
	limits   ConnectionLimits
	counters *Counters
	// onClose, if not nil, is told of each connection that is closed under pressure.
	onClose func(ClosedConnection)

	mu       sync.Mutex
	accounts map[*ConnectionAccount]struct{}
	// used is the sum of what all accounts hold, large the part of it that is held by accounts of
	// more than SmallAccountBytes, and returning the part that is held by connections that were
	// closed and have not yet returned it.
	used, large, returning int64
	// waiting are the charges that wait, those of the accounts that hold the most first.
	waiting []*pendingCharge
	// opened is closed and replaced when another connection may have become admissible, if
	// awaited is set.
	opened  chan struct{}
	awaited bool
	sweptAt Millis
}

// ConnectionAccount is what one connection holds of a budget.
type ConnectionAccount struct {
	budget *ConnectionBudget
	// abort ends the network connection. The account is closed by its owner afterwards.
	abort func()

	// The fields below are guarded by the lock of the budget.
	held  int64
	phase ConnectionPhase
	// phaseAt is when the phase began, and progressAt when the connection last made progress.
	// moved is the number of bytes since then.
	phaseAt, progressAt Millis
	moved               int64
	pending             *pendingCharge
	aborted, closed     bool
}

// pendingCharge is a charge that waits.
type pendingCharge struct {
	account *ConnectionAccount
	bytes   int64
	// done receives the result.
	done chan error
}

// ClosedConnection describes a connection that was closed, for the log.
type ClosedConnection struct {
	Held    int64
	Stalled Millis
	Phase   ConnectionPhase
	// TimedOut is set if it exceeded one of the timeouts.
	TimedOut bool
}

// NewConnectionBudget returns a budget without connections.
func NewConnectionBudget(clock Clock, limits ConnectionLimits, counters *Counters, onClose func(ClosedConnection)) *ConnectionBudget {
	return &ConnectionBudget{
		clock: clock, limits: limits, counters: counters, onClose: onClose,
		accounts: map[*ConnectionAccount]struct{}{}, opened: make(chan struct{}),
	}
}

// Open waits until one more connection is admitted, and returns its account. abort must end the
// network connection without waiting.
func (b *ConnectionBudget) Open(ctx context.Context, abort func()) (*ConnectionAccount, error) {
	for {
		account, opened := b.tryOpen(abort)
		if account != nil {
			return account, nil
		}
		// Each connection that waits here has its own demand met at once. It waits for the next
		// sweep only while no connection is stalled.
		b.closeStalled(demand{bytes: ConnectionBytes, smallBytes: ConnectionBytes, connections: 1})
		select {
		case <-opened:
		case <-b.clock.After(budgetSweepMillis):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryOpen returns the account of a new connection, or, if it is not admitted, a channel that is
// closed when it may be.
func (b *ConnectionBudget) tryOpen(abort func()) (*ConnectionAccount, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	account := &ConnectionAccount{budget: b, abort: abort, phaseAt: now, progressAt: now}
	if b.limits.Connections > 0 && len(b.accounts) >= b.limits.Connections || !b.fitsLocked(account, ConnectionBytes) {
		b.awaited = true
		return nil, b.opened
	}
	b.accounts[account] = struct{}{}
	b.addLocked(account, ConnectionBytes)
	return account, nil
}

// fitsLocked reports whether the account may hold so many bytes more. An account that would be the
// only large one may: a single request within the published limits is served by any budget. The
// reserved part is left for small accounts then, too.
func (b *ConnectionBudget) fitsLocked(account *ConnectionAccount, bytes int64) bool {
	if b.limits.Bytes == 0 {
		return true
	}
	if account.held+bytes <= SmallAccountBytes {
		return b.used+bytes <= b.limits.Bytes || b.used-b.large+bytes <= b.reserved()
	}
	if b.used+bytes <= b.limits.Bytes-b.reserved() {
		return true
	}
	return b.large == account.largePart()
}

// reserved returns the part of the budget that is reserved for small accounts.
func (b *ConnectionBudget) reserved() int64 { return b.limits.Bytes / reservedDivisor }

// largePart returns what the account holds if it is large, and 0 otherwise.
func (a *ConnectionAccount) largePart() int64 {
	if a.held <= SmallAccountBytes {
		return 0
	}
	return a.held
}

// addLocked changes what the account holds.
func (b *ConnectionBudget) addLocked(account *ConnectionAccount, bytes int64) {
	b.used += bytes
	b.large -= account.largePart()
	account.held += bytes
	b.large += account.largePart()
	if account.aborted {
		b.returning += bytes
	}
}

// TryCharge adds bytes to what the connection holds, which are in memory already. It returns false,
// and adds nothing, if they don't fit at once; stalled connections are then closed to make room for
// later charges. A small account may always hold them.
func (a *ConnectionAccount) TryCharge(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	fits := !a.closed && (a.held+bytes <= SmallAccountBytes || b.fitsLocked(a, bytes))
	if fits {
		b.addLocked(a, bytes)
	}
	wanted := demand{}
	wanted.add(a.held, bytes)
	b.mu.Unlock()
	if !fits {
		b.closeStalled(wanted)
	}
	return fits
}

// Charge adds bytes to what the connection holds. If they don't fit, it waits for at most
// BudgetWaitMillis, and returns ErrBudgetExhausted after that.
func (a *ConnectionAccount) Charge(ctx context.Context, bytes int64) error {
	b := a.budget
	b.mu.Lock()
	switch {
	case a.closed || a.aborted:
		b.mu.Unlock()
		return errAccountClosed
	case bytes <= 0 || b.fitsLocked(a, bytes):
		b.addLocked(a, max(0, bytes))
		b.mu.Unlock()
		return nil
	}
	charge := b.enqueueLocked(a, bytes)
	b.mu.Unlock()
	b.counters.Add(CountCallerWaits, 1)
	return b.await(ctx, charge)
}

// enqueueLocked adds a charge to those that wait.
func (b *ConnectionBudget) enqueueLocked(account *ConnectionAccount, bytes int64) *pendingCharge {
	charge := &pendingCharge{account: account, bytes: bytes, done: make(chan error, 1)}
	account.pending = charge
	index, _ := slices.BinarySearchFunc(b.waiting, charge, func(o, c *pendingCharge) int {
		if o.account.held >= c.account.held {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, index, charge)
	return charge
}

// await waits for the result of a charge.
func (b *ConnectionBudget) await(ctx context.Context, charge *pendingCharge) error {
	until := b.clock.Now() + BudgetWaitMillis
	for b.clock.Now() < until {
		b.sweep()
		select {
		case err := <-charge.done:
			return err
		case <-b.clock.After(budgetSweepMillis):
		case <-ctx.Done():
			until = 0
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if charge.account.pending == charge {
		b.resolveLocked(charge, ErrBudgetExhausted)
	}
	return <-charge.done
}

// resolveLocked ends the wait of a charge. The wait was no lack of progress.
func (b *ConnectionBudget) resolveLocked(charge *pendingCharge, err error) {
	if index := slices.Index(b.waiting, charge); index >= 0 {
		b.waiting = slices.Delete(b.waiting, index, index+1)
	}
	charge.account.pending = nil
	charge.account.progressAt, charge.account.moved = b.clock.Now(), 0
	charge.done <- err
}

// admitLocked admits the charges and connections that fit now. A charge that doesn't fit holds up
// those behind it, unless they are small.
func (b *ConnectionBudget) admitLocked() {
	blocked := false
	for _, charge := range slices.Clone(b.waiting) {
		small := charge.account.held+charge.bytes <= SmallAccountBytes
		if blocked && !small {
			continue
		}
		if !b.fitsLocked(charge.account, charge.bytes) {
			blocked = true
			continue
		}
		b.addLocked(charge.account, charge.bytes)
		b.resolveLocked(charge, nil)
	}
	if b.awaited {
		close(b.opened)
		b.opened, b.awaited = make(chan struct{}), false
	}
}

// Return subtracts bytes from what the connection holds.
func (a *ConnectionAccount) Return(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.returnLocked(bytes)
}

func (a *ConnectionAccount) returnLocked(bytes int64) {
	if bytes = min(bytes, a.held); bytes <= 0 {
		return
	}
	a.budget.addLocked(a, -bytes)
	a.budget.admitLocked()
}

// Settle returns everything but the bytes of the connection itself and the given ones.
func (a *ConnectionAccount) Settle(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.returnLocked(a.held - ConnectionBytes - bytes)
}

// Close returns everything. It may be called more than once.
func (a *ConnectionAccount) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	if a.pending != nil {
		b.resolveLocked(a.pending, errAccountClosed)
	}
	delete(b.accounts, a)
	a.returnLocked(a.held)
}

// Enter records that the connection does something else from now on, which is progress.
func (a *ConnectionAccount) Enter(phase ConnectionPhase) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != phase {
		a.phase, a.phaseAt = phase, b.clock.Now()
		a.progressAt, a.moved = a.phaseAt, 0
	}
}

// Phase returns the phase of the connection.
func (a *ConnectionAccount) Phase() ConnectionPhase {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.phase
}

// Moved records that bytes were read from the client or written to it.
func (a *ConnectionAccount) Moved(bytes int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.moved += int64(bytes)
	if a.moved >= max(progressBytes, a.held/progressDivisor) {
		a.progressAt, a.moved = b.clock.Now(), 0
	}
}

// stalledLocked returns how long the connection has kept the instance waiting without progress. It
// returns 0 if it does not.
func (a *ConnectionAccount) stalledLocked(now Millis) Millis {
	if a.phase == PhaseExecuting || a.pending != nil || a.aborted {
		return 0
	}
	return now - a.progressAt
}

// Expire closes the connections that exceed a timeout.
func (b *ConnectionBudget) Expire(timeouts ConnectionTimeouts) {
	now := b.clock.Now()
	var expired []*ConnectionAccount
	b.mu.Lock()
	for account := range b.accounts {
		if !account.aborted && account.expiredLocked(now, timeouts) {
			account.abortLocked()
			expired = append(expired, account)
		}
	}
	b.mu.Unlock()
	b.abort(expired, now, true)
}

func (a *ConnectionAccount) expiredLocked(now Millis, timeouts ConnectionTimeouts) bool {
	switch a.phase {
	case PhaseHead:
		return timeouts.Head > 0 && a.pending == nil && now-a.phaseAt > timeouts.Head
	case PhaseIdle:
		return timeouts.Idle > 0 && now-a.phaseAt > timeouts.Idle
	}
	return false
}

// ConnectionBudgetState is the state of a budget, for the state dump.
type ConnectionBudgetState struct {
	Limits      ConnectionLimits
	Bytes       int64
	Connections int
	// LargestBytes is the most that one connection holds, and Stalled the number of connections
	// that may be closed under pressure.
	LargestBytes int64
	Stalled      int
	// WaitingCharges is the number of charges that wait.
	WaitingCharges int
}

// State returns the current state of the budget.
func (b *ConnectionBudget) State() ConnectionBudgetState {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	state := ConnectionBudgetState{Limits: b.limits, Bytes: b.used, Connections: len(b.accounts), WaitingCharges: len(b.waiting)}
	for account := range b.accounts {
		state.LargestBytes = max(state.LargestBytes, account.held)
		if account.stalledLocked(now) >= StallMillis {
			state.Stalled++
		}
	}
	return state
}

// NewCallerLimits returns the limits on the connections of callers, for an instance with the given
// memory and number of descriptors. Zero means no limit.
func NewCallerLimits(memoryBytes int64, descriptors int) ConnectionLimits {
	return newConnectionLimits(memoryBytes, callerMemoryDivisor, descriptors, callerDescriptorsDivisor)
}

// NewPortLimits returns the limits on the connections to another port, for the readiness checks or
// for operators.
func NewPortLimits(memoryBytes int64, descriptors int) ConnectionLimits {
	return newConnectionLimits(memoryBytes, portMemoryDivisor, descriptors, portDescriptorsDivisor)
}

// newConnectionLimits divides the memory and the descriptors. A limit does not become 0, which means
// none.
func newConnectionLimits(memoryBytes, memoryDivisor int64, descriptors, descriptorsDivisor int) ConnectionLimits {
	var limits ConnectionLimits
	if memoryBytes > 0 {
		limits.Bytes = max(1, memoryBytes/memoryDivisor)
	}
	if descriptors > 0 {
		limits.Connections = max(1, descriptors/descriptorsDivisor)
	}
	return limits
}
