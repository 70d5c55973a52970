package core

import (
	"context"
	"errors"
	"maps"
	"sync"
)

// ErrPeerUnreachable means that no valid answer came from a peer. The peer may
// have received and processed the request.
var ErrPeerUnreachable = errors.New("peer unreachable")

// OrderPeers sends requests about orders and tickets to other instances.
type OrderPeers interface {
	// ForwardOrder sends an order to the home of its ticket and returns the
	// answer.
	ForwardOrder(ctx context.Context, address string, ticket Ticket, request Request) (Answer, error)
	// MintTicket requests a ticket from another instance.
	MintTicket(ctx context.Context, address string) (Ticket, error)
	// TakeOver sends a sealed ticket book to a successor.
	TakeOver(ctx context.Context, address string, book BookCopy) error
}

// Orders runs orders: requests that must run at most once. Each order comes with
// a ticket, and only the home of the ticket runs it. Other instances forward it
// there.
type Orders struct {
	engine *Engine
	peers  OrderPeers
	// knownAddress returns the address of the instance with the name, or nothing if this instance
	// does not know it. address is where the instance is according to the caller.
	knownAddress func(name, address string) Option[string]
	address      string
	notify       func(Fact)

	mu  sync.Mutex
	own *TicketBook
	// adopted holds the books that this instance took over, by their home.
	adopted map[Home]adoptedBook
	// moved holds where the books of stopped instances are now, by their home.
	moved map[Home]movedBook
	// handedOver is closed when the hand-over of this instance's books has
	// succeeded or failed.
	handedOver chan struct{}
}

// adoptedBook is the book of a stopped instance that this instance took over, and
// when it did so.
type adoptedBook struct {
	book  *TicketBook
	since Millis
}

// movedBook is the address of the instance that took over the book of a stopped
// instance, and when this instance learned it.
type movedBook struct {
	address string
	since   Millis
}

// NewOrders returns the Orders of a process that has just started. Its tickets
// name home and address; knownAddress returns the address of a known instance; notify is called with each take-over of tickets, for
// the facts sent to peers.
func NewOrders(engine *Engine, peers OrderPeers, knownAddress func(name, address string) Option[string], home Home, address string, notify func(Fact)) *Orders {
	return &Orders{
		engine:       engine,
		peers:        peers,
		knownAddress: knownAddress,
		address:      address,
		notify:       notify,
		own:          NewTicketBook(engine.Clock, home, address),
		adopted:      map[Home]adoptedBook{},
		moved:        map[Home]movedBook{},
		handedOver:   make(chan struct{}),
	}
}

// Mint returns a new ticket whose home is this process.
func (o *Orders) Mint() Ticket {
	o.engine.Counters.Add(CountTicketsMinted, 1)
	return o.own.Mint()
}

// MintAt requests a ticket from the instances at addresses, one after the other,
// and returns the first that it gets. It serves callers while this instance is
// leaving. If no instance returns a ticket, it mints one itself.
func (o *Orders) MintAt(ctx context.Context, addresses []string) Ticket {
	for _, address := range addresses {
		ticket, err := o.peers.MintTicket(ctx, address)
		if err == nil {
			return ticket
		}
	}
	return o.Mint()
}

// Run runs an order that a caller sent. If another instance is the ticket's home,
// Run forwards the order to it.
func (o *Orders) Run(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountQueries, 1)
	return o.engine.finish(request, o.route(ctx, ticket, request))
}

// RunForwarded runs an order that a peer forwarded. It forwards the order further
// only if this instance has handed over the ticket's book.
func (o *Orders) RunForwarded(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountQueries, 1)
	return o.engine.finish(request, o.runLocal(ctx, ticket, request))
}

// route runs the order here if this instance has the ticket's book, and forwards
// it otherwise.
func (o *Orders) route(ctx context.Context, ticket Ticket, request Request) Answer {
	if o.book(ticket.Home) != nil {
		return o.runLocal(ctx, ticket, request)
	}
	return o.forward(ctx, ticket, request)
}

// forward sends the order to its ticket's home and returns the home's answer. If
// there is none, the outcome is unknown: the order may have run, now or when it
// was sent earlier.
func (o *Orders) forward(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountOrdersForwarded, 1)
	ctx, cancel := o.engine.Clock.WithDeadline(ctx, answerDeadline(request))
	defer cancel()
	address, known := o.homeAddress(ticket).Get()
	if !known || address == o.address {
		return homeLost(request)
	}
	answer, err := o.peers.ForwardOrder(ctx, address, ticket, request)
	if err != nil {
		return homeLost(request)
	}
	return answer
}

// answerDeadline returns the time by which the caller of an order is answered:
// the request's deadline or, without one, DefaultOrderTimeoutMillis after its arrival.
func answerDeadline(request Request) Millis {
	if request.Deadline != 0 {
		return request.Deadline
	}
	return request.Arrived + DefaultOrderTimeoutMillis
}

// homeLost returns the answer to an order whose home can't be reached. Its
// outcome is unknown.
func homeLost(request Request) Answer {
	return Unknown(request.ID, ReasonHomeLost,
		"the instance that minted the ticket gives no answer; the order is not run again")
}

// forwardAfterHandOver waits until the hand-over of the books has ended and
// forwards the order to the successor.
func (o *Orders) forwardAfterHandOver(ctx context.Context, ticket Ticket, request Request) Answer {
	select {
	case <-o.handedOver:
		return o.forward(ctx, ticket, request)
	case <-ctx.Done():
		return homeLost(request)
	}
}

// homeAddress returns where the ticket's book is: at the instance that took it
// over, or else at its home. It returns nothing if the home is unknown, because the
// address in the ticket comes from the caller.
func (o *Orders) homeAddress(ticket Ticket) Option[string] {
	o.mu.Lock()
	moved, ok := o.moved[ticket.Home]
	o.mu.Unlock()
	if ok {
		return Some(moved.address)
	}
	return o.knownAddress(ticket.Home.Instance, ticket.Address)
}

// book returns this process's own or adopted book of the given home, or nil.
func (o *Orders) book(home Home) *TicketBook {
	o.mu.Lock()
	defer o.mu.Unlock()
	if home == o.own.Home() {
		return o.own
	}
	return o.adopted[home].book
}

// expire removes the adopted books and the addresses of moved books whose tickets
// have all expired. The caller holds o.mu.
func (o *Orders) expire() {
	cutoff := o.engine.Clock.Now() - TicketTTLMillis
	maps.DeleteFunc(o.adopted, func(_ Home, a adoptedBook) bool { return a.since < cutoff })
	maps.DeleteFunc(o.moved, func(_ Home, m movedBook) bool { return m.since < cutoff })
}

// runLocal runs the order under this instance's book of the ticket's home, or
// returns the answer of an earlier run under the same ticket.
func (o *Orders) runLocal(ctx context.Context, ticket Ticket, request Request) Answer {
	book := o.book(ticket.Home)
	if book == nil {
		return homeLost(request)
	}
	verdict, run := book.Begin(ticket, request.Fingerprint())
	switch verdict {
	case TicketRun:
		return o.runDetached(ctx, book, ticket, run, request)
	case TicketJoin:
		o.engine.Counters.Add(CountOrdersJoined, 1)
		return o.join(ctx, run, request)
	case TicketSealed:
		return o.forwardAfterHandOver(ctx, ticket, request)
	case TicketForged:
		return Refuse(request.ID, ReasonTicketInvalid, "the ticket is not one that its instance minted")
	case TicketReused:
		return Refuse(request.ID, ReasonTicketReused, "the ticket was used for another order; this one was not run")
	case TicketFull:
		return Refuse(request.ID, ReasonOverloaded, "too many orders are remembered")
	}
	return Unknown(request.ID, ReasonTicketExpired, "the ticket has expired; whether it was used is no longer known")
}

// runDetached runs the order to its end even if ctx is cancelled, so that a caller
// that sends the order again gets the answer of this run.
func (o *Orders) runDetached(ctx context.Context, book *TicketBook, ticket Ticket, run *TicketRunState, request Request) Answer {
	go func() {
		answer := o.execute(context.WithoutCancel(ctx), ticket, request)
		book.Finish(ticket, run, answer)
	}()
	return o.join(ctx, run, request)
}

// join waits for a run to end and returns its answer. If ctx is cancelled or the
// deadline passes first, the outcome is unknown.
func (o *Orders) join(ctx context.Context, run *TicketRunState, request Request) Answer {
	ctx, cancel := o.engine.Clock.WithDeadline(ctx, answerDeadline(request))
	defer cancel()
	select {
	case <-run.Done():
		return run.Answer()
	case <-ctx.Done():
		return Unknown(request.ID, ReasonTimeout, "the order is still running")
	}
}

// execute sends the order to an upstream. It tries another upstream only after
// proof that no earlier one ran the order.
func (o *Orders) execute(ctx context.Context, ticket Ticket, request Request) Answer {
	e := o.engine
	admitted, refused := e.admit(request, ModeOrder)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	leaveGates, refused := e.enterGates(ctx, request, admitted)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	ctx, cancel := e.Clock.WithDeadline(ctx, admitted.deadline-MergeMarginMillis)
	defer cancel()
	run := orderRun{orders: o, request: request, admitted: admitted, orderID: orderID(ticket)}
	answer := run.run(ctx)
	leaveGates(run.congested)
	return answer
}

// orderRun is the execution of one order.
type orderRun struct {
	orders   *Orders
	request  Request
	admitted admission
	orderID  string
	attempts int
	// congested is set once an upstream has refused the order without running it.
	congested bool
}

// run sends the order to upstreams of the service that owns its key until one of
// them may have run it, at most MaxAttemptsPerShard times.
func (r *orderRun) run(ctx context.Context) Answer {
	newest := r.admitted.collection.SnapshotsNewestFirst()
	if len(newest) == 0 {
		return Refuse(r.request.ID, ReasonNoSnapshot, "the collection has no snapshot")
	}
	service, ok := newest[0].Owner(Position(r.request.Key))
	if !ok {
		return Refuse(r.request.ID, ReasonNoSnapshot, "no service owns the key")
	}
	exclude := NewSet[string]()
	refusal := Refuse(r.request.ID, ReasonNoUpstream, "no upstream could be reached")
	for range MaxAttemptsPerShard {
		permit, err := r.acquire(ctx, service, exclude)
		if err != nil {
			return refusal
		}
		exclude.Add(permit.Target().Name)
		answer, final := r.send(ctx, permit)
		if final {
			return answer
		}
		refusal = answer
	}
	return refusal
}

// acquire returns a permit for an upstream that this order wasn't sent to before.
// An order that is suspected of crashing upstreams gets an upstream that runs
// nothing else for this instance, and never the last one in use of the service.
func (r *orderRun) acquire(ctx context.Context, service string, exclude Set[string]) (*Permit, error) {
	suspect := r.admitted.verdict == VerdictSuspect
	return r.orders.engine.acquireSendable(ctx, Want{
		Service:            service,
		Exclude:            exclude,
		Exclusive:          suspect,
		ExcludeLastReplica: suspect,
		Priority:           r.admitted.kind.Priority,
	})
}

// send makes one attempt. It returns the answer and whether that is final. The
// answer is not final if the upstream certainly ran nothing: then the order may
// be sent to another one.
func (r *orderRun) send(ctx context.Context, permit *Permit) (Answer, bool) {
	e := r.orders.engine
	r.attempts++
	e.Counters.Add(CountAttempts, 1)
	reply, err := e.Client.Order(ctx, permit.Target(), OrderAttempt{
		QueryID:    r.orderID,
		AttemptID:  e.NewID(),
		Collection: r.admitted.collection.Name,
		Kind:       r.admitted.kind.Name,
		Key:        r.request.Key,
		Body:       r.request.Body,
		OrderID:    r.orderID,
		Deadline:   r.admitted.deadline - 2*MergeMarginMillis,
		Confirm:    permit.confirm(e.Pause),
	})
	if err == nil {
		permit.Succeed(reply.Status)
		if permit.want.Exclusive {
			e.Quarantine.MarkCleared(r.admitted.fingerprint)
		}
		return r.answerFrom(reply), true
	}
	failure := attemptFailure(err)
	permit.Fail(failure)
	return r.handleFailure(ctx, permit, failure)
}

// answerFrom returns the answer to the caller for an upstream's reply.
func (r *orderRun) answerFrom(reply OrderReply) Answer {
	return Answer{
		Outcome:              OutcomeAnswered,
		ConfigurationVersion: r.admitted.configuration.Version,
		Result:               reply.Result,
		Sufficient:           true,
		Attempts:             r.attempts,
		Shards:               1,
	}
}

// handleFailure returns the answer for a failed attempt and whether it is final,
// like send.
func (r *orderRun) handleFailure(ctx context.Context, permit *Permit, failure *AttemptError) (Answer, bool) {
	e := r.orders.engine
	switch failure.Kind {
	case FailureNotRun:
		r.congested = true
		e.Counters.Add(CountShedByUpstream, 1)
		return Refuse(r.request.ID, ReasonUpstreamRefused, "the upstreams refused the order: "+failure.Detail), false
	case FailureNotSent, FailureNoSnapshot:
		return Refuse(r.request.ID, ReasonNoUpstream, "no upstream could be reached"), false
	case FailureLost:
		e.Counters.Add(CountLostConnections, 1)
		r.reportLostUpstream(ctx, permit)
		return Unknown(r.request.ID, ReasonConnectionLost, "the connection to the upstream broke; the order is not run again"), true
	case FailureBadReply:
		e.Counters.Add(CountBadReplies, 1)
		return Unknown(r.request.ID, ReasonConnectionLost, "the upstream's reply was not whole; the order is not run again"), true
	}
	return Unknown(r.request.ID, ReasonTimeout, "the upstream gave no answer in time; the order is not run again"), true
}

// reportLostUpstream records that the connection to the upstream broke while it
// ran the order, and notifies the peers. The order becomes a suspect: the caller
// may send it again under a new ticket, which could crash another upstream. If it
// was a suspect already and ran alone, a crash is recorded.
func (r *orderRun) reportLostUpstream(ctx context.Context, permit *Permit) {
	e := r.orders.engine
	if permit.want.Exclusive {
		e.Quarantine.RecordIsolatedCrash(r.admitted.fingerprint)
	} else {
		e.Quarantine.MarkSuspect(r.admitted.fingerprint)
	}
	notifyCtx, cancel := e.Clock.WithDeadline(context.WithoutCancel(ctx), e.Clock.Now()+NotifyTimeoutMillis)
	defer cancel()
	e.NotifyPeers(notifyCtx)
}

// RunCount returns the number of runs recorded in the own and the adopted
// books.
func (o *Orders) RunCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := o.own.Runs()
	for _, adopted := range o.adopted {
		runs += adopted.book.Runs()
	}
	return runs
}
