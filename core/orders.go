package core

import (
	"context"
	"errors"
	"maps"
	"sync"
)

// ErrPeerUnreachable means that a peer gave no answer; it may have taken the request.
var ErrPeerUnreachable = errors.New("peer unreachable")

// OrderPeers are the calls that orders make to other instances.
type OrderPeers interface {
	// ForwardOrder hands an order to the home of its ticket.
	ForwardOrder(ctx context.Context, address string, ticket Ticket, request Request) (Answer, error)
	// MintTicket asks another instance for a ticket.
	MintTicket(ctx context.Context, address string) (Ticket, error)
	// TakeOver hands a sealed book to a successor.
	TakeOver(ctx context.Context, address string, book BookCopy) error
}

// Orders runs requests that may not be repeated, each at most once.
type Orders struct {
	engine  *Engine
	peers   OrderPeers
	address string
	notify  func(Fact)

	mu      sync.Mutex
	own     *TicketBook
	adopted map[Home]adoptedBook
	moved   map[Home]movedBook
	// handedOver is closed when this instance has given its tickets away, or
	// has failed to.
	handedOver chan struct{}
}

// adoptedBook is the book of a stopped instance that this one took over.
type adoptedBook struct {
	book  *TicketBook
	since Millis
}

// movedBook says where the tickets of a stopped instance are now.
type movedBook struct {
	address string
	since   Millis
}

// NewOrders returns the orders of a process that has just started as home.
func NewOrders(engine *Engine, peers OrderPeers, home Home, address string, notify func(Fact)) *Orders {
	return &Orders{
		engine:     engine,
		peers:      peers,
		address:    address,
		notify:     notify,
		own:        NewTicketBook(engine.Clock, home, address),
		adopted:    map[Home]adoptedBook{},
		moved:      map[Home]movedBook{},
		handedOver: make(chan struct{}),
	}
}

// Mint returns a ticket of this process.
func (o *Orders) Mint() Ticket {
	o.engine.Counters.Add(CountTicketsMinted, 1)
	return o.own.Mint()
}

// MintAt returns a ticket of another instance, for a caller that arrives while
// this one is leaving, or one of its own where none can be reached.
func (o *Orders) MintAt(ctx context.Context, addresses []string) Ticket {
	for _, address := range addresses {
		ticket, err := o.peers.MintTicket(ctx, address)
		if err == nil {
			return ticket
		}
	}
	return o.Mint()
}

// Run runs an order under its ticket, here or at the ticket's home.
func (o *Orders) Run(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountQueries, 1)
	return o.engine.finish(request, o.route(ctx, ticket, request))
}

// RunForwarded runs an order that a peer has forwarded.
func (o *Orders) RunForwarded(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountQueries, 1)
	return o.engine.finish(request, o.runHere(ctx, ticket, request))
}

func (o *Orders) route(ctx context.Context, ticket Ticket, request Request) Answer {
	if o.book(ticket.Home) != nil {
		return o.runHere(ctx, ticket, request)
	}
	return o.forward(ctx, ticket, request)
}

// forward hands the order to its home. Without an answer from there, nobody
// knows whether this or an earlier sending of it ran.
func (o *Orders) forward(ctx context.Context, ticket Ticket, request Request) Answer {
	o.engine.Counters.Add(CountOrdersForwarded, 1)
	ctx, cancel := o.engine.Clock.WithDeadline(ctx, waitUntil(request))
	defer cancel()
	address := o.homeAddress(ticket)
	if address == o.address {
		return homeLost(request)
	}
	answer, err := o.peers.ForwardOrder(ctx, address, ticket, request)
	if err != nil {
		return homeLost(request)
	}
	return answer
}

// waitUntil returns when a caller of an order is answered at the latest.
func waitUntil(request Request) Millis {
	if request.Deadline != 0 {
		return request.Deadline
	}
	return request.Arrived + OrderPatienceMillis
}

func homeLost(request Request) Answer {
	return Unknown(request.ID, ReasonHomeLost,
		"the instance that minted the ticket gives no answer; the order is not run again")
}

// forwardSealed hands an order to the successor once the tickets were handed over.
func (o *Orders) forwardSealed(ctx context.Context, ticket Ticket, request Request) Answer {
	select {
	case <-o.handedOver:
		return o.forward(ctx, ticket, request)
	case <-ctx.Done():
		return homeLost(request)
	}
}

func (o *Orders) homeAddress(ticket Ticket) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if moved, ok := o.moved[ticket.Home]; ok {
		return moved.address
	}
	return ticket.Address
}

func (o *Orders) book(home Home) *TicketBook {
	o.mu.Lock()
	defer o.mu.Unlock()
	if home == o.own.Home() {
		return o.own
	}
	return o.adopted[home].book
}

// expire forgets the books whose tickets have all expired.
func (o *Orders) expire() {
	oldest := o.engine.Clock.Now() - TicketTTLMillis
	maps.DeleteFunc(o.adopted, func(_ Home, a adoptedBook) bool { return a.since < oldest })
	maps.DeleteFunc(o.moved, func(_ Home, m movedBook) bool { return m.since < oldest })
}

func (o *Orders) runHere(ctx context.Context, ticket Ticket, request Request) Answer {
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
		return o.forwardSealed(ctx, ticket, request)
	case TicketForged:
		return Refuse(request.ID, ReasonTicketInvalid, "the ticket is not one that its instance minted")
	case TicketReused:
		return Refuse(request.ID, ReasonTicketReused, "the ticket was used for another order; this one was not run")
	case TicketFull:
		return Refuse(request.ID, ReasonOverloaded, "too many orders are remembered")
	}
	return Unknown(request.ID, ReasonTicketExpired, "the ticket has expired; whether it was used is no longer known")
}

// runDetached runs the order to its end even if the caller goes away, so that a
// later sending finds the answer.
func (o *Orders) runDetached(ctx context.Context, book *TicketBook, ticket Ticket, run *TicketRunState, request Request) Answer {
	go func() {
		answer := o.execute(context.WithoutCancel(ctx), ticket, request)
		book.Finish(ticket, run, answer)
	}()
	return o.join(ctx, run, request)
}

func (o *Orders) join(ctx context.Context, run *TicketRunState, request Request) Answer {
	ctx, cancel := o.engine.Clock.WithDeadline(ctx, waitUntil(request))
	defer cancel()
	select {
	case <-run.Done():
		return run.Answer()
	case <-ctx.Done():
		return Unknown(request.ID, ReasonTimeout, "the order is still running")
	}
}

// execute sends the order to one upstream, and to another one only while every
// upstream before has proved that it ran nothing.
func (o *Orders) execute(ctx context.Context, ticket Ticket, request Request) Answer {
	e := o.engine
	admitted, refused := e.admit(request, ModeOrder)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	exit, refused := e.enterGates(ctx, request, admitted)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	ctx, cancel := e.Clock.WithDeadline(ctx, admitted.deadline-MergeMarginMillis)
	defer cancel()
	run := orderRun{orders: o, request: request, admitted: admitted, orderID: orderID(ticket)}
	answer := run.run(ctx)
	exit(run.congested)
	return answer
}

// orderRun is one order under way.
type orderRun struct {
	orders    *Orders
	request   Request
	admitted  admission
	orderID   string
	attempts  int
	congested bool
}

func (r *orderRun) run(ctx context.Context) Answer {
	newest := r.admitted.collection.Newest()
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
		answer, settled := r.send(ctx, permit)
		if settled {
			return answer
		}
		refusal = answer
	}
	return refusal
}

func (r *orderRun) acquire(ctx context.Context, service string, exclude Set[string]) (*Permit, error) {
	suspect := r.admitted.verdict == VerdictSuspect
	return r.orders.engine.acquireSendable(ctx, Want{
		Service:   service,
		Exclude:   exclude,
		Exclusive: suspect,
		SpareLast: suspect,
		Priority:  r.admitted.kind.Priority,
	})
}

// send makes one attempt. It returns false when the upstream proved that it ran
// nothing, so that another one may be asked.
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
	})
	if err == nil {
		permit.Succeed(reply.Status)
		if permit.want.Exclusive {
			e.Quarantine.Clear(r.admitted.fingerprint)
		}
		return r.answered(reply), true
	}
	failure := attemptFailure(err)
	permit.Fail(failure)
	return r.failed(ctx, permit, failure)
}

func (r *orderRun) answered(reply OrderReply) Answer {
	return Answer{
		Outcome:              OutcomeAnswered,
		ConfigurationVersion: r.admitted.configuration.Version,
		Result:               reply.Result,
		Sufficient:           true,
		Attempts:             r.attempts,
		Shards:               1,
	}
}

func (r *orderRun) failed(ctx context.Context, permit *Permit, failure *AttemptError) (Answer, bool) {
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
		r.blame(ctx, permit)
		return Unknown(r.request.ID, ReasonConnectionLost, "the connection to the upstream broke; the order is not run again"), true
	case FailureBadReply:
		e.Counters.Add(CountBadReplies, 1)
		return Unknown(r.request.ID, ReasonConnectionLost, "the upstream's reply was not whole; the order is not run again"), true
	}
	return Unknown(r.request.ID, ReasonTimeout, "the upstream gave no answer in time; the order is not run again"), true
}

// blame makes a request that lost its upstream a suspect, since its caller may
// send it again under a fresh ticket.
func (r *orderRun) blame(ctx context.Context, permit *Permit) {
	e := r.orders.engine
	if permit.want.Exclusive {
		e.Quarantine.Crash(r.admitted.fingerprint)
	} else {
		e.Quarantine.Suspect(r.admitted.fingerprint)
	}
	limited, cancel := e.Clock.WithDeadline(context.WithoutCancel(ctx), e.Clock.Now()+NotifyTimeoutMillis)
	defer cancel()
	e.NotifyPeers(limited)
}

// HandOver seals the books and gives them to the first peer that takes them. It
// is called once, at a planned stop.
func (o *Orders) HandOver(ctx context.Context, successors []string) error {
	defer close(o.handedOver)
	books := o.sealAll()
	for _, book := range books {
		if err := o.handOver(ctx, book, successors); err != nil {
			return err
		}
	}
	return nil
}

func (o *Orders) sealAll() []BookCopy {
	o.mu.Lock()
	open := []*TicketBook{o.own}
	for _, adopted := range o.adopted {
		open = append(open, adopted.book)
	}
	o.mu.Unlock()
	copies := make([]BookCopy, len(open))
	for i, book := range open {
		copies[i] = book.Seal()
	}
	return copies
}

// handOver offers a sealed book to one successor after the other. Another one
// is tried only when the offer certainly did not arrive, which the home can't
// tell from a lost answer: so one failure after sending ends the hand-over.
func (o *Orders) handOver(ctx context.Context, book BookCopy, successors []string) error {
	for _, address := range successors {
		err := o.peers.TakeOver(ctx, address, book)
		if errors.Is(err, ErrPeerUnreachable) {
			return err
		}
		if err != nil {
			continue
		}
		o.setMoved(book.Home, address)
		o.notify(o.movedFact(book.Home, address))
		return nil
	}
	return ErrPeerUnreachable
}

// Adopt takes over the book of a stopped instance. A second copy of the same
// book is ignored: runs may have been added to the first.
func (o *Orders) Adopt(book BookCopy) {
	o.mu.Lock()
	if _, ok := o.adopted[book.Home]; ok || book.Home == o.own.Home() {
		o.mu.Unlock()
		return
	}
	o.expire()
	o.adopted[book.Home] = adoptedBook{
		book:  OpenBookCopy(o.engine.Clock, book),
		since: o.engine.Clock.Now(),
	}
	o.mu.Unlock()
	o.notify(o.movedFact(book.Home, o.address))
}

func (o *Orders) movedFact(home Home, address string) Fact {
	return Fact{
		Kind:    FactTicketsMoved,
		Subject: home.subject(),
		Stamp:   uint64(o.engine.Clock.Now()),
		Address: address,
	}
}

// Moved takes in word of a peer that took over the tickets of another.
func (o *Orders) Moved(fact Fact) {
	home, ok := parseHome(fact.Subject)
	if !ok || fact.Address == o.address {
		return
	}
	o.setMoved(home, fact.Address)
}

func (o *Orders) setMoved(home Home, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire()
	o.moved[home] = movedBook{address: address, since: o.engine.Clock.Now()}
}

// Remembered returns how many runs are remembered, adopted ones included.
func (o *Orders) Remembered() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := o.own.Runs()
	for _, adopted := range o.adopted {
		runs += adopted.book.Runs()
	}
	return runs
}
