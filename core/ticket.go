package core

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
)

// Home identifies the process that minted a ticket: one incarnation of an
// instance. Only this process, or the instance that takes over its tickets, may
// run the orders under them.
type Home struct {
	Instance    string
	Incarnation uint64
}

// Ticket allows one run of one order. It names the process that minted it, since
// no other process knows whether the ticket was used.
type Ticket struct {
	Home Home
	// Address is the address at which peers reach the home.
	Address string
	// Expires is a time on the home's clock.
	Expires Millis
	// Nonce is random and identifies the ticket.
	Nonce [16]byte
	// Proof is the HMAC-SHA-256 of the nonce, the expiry time and the address under the
	// home's secret.
	Proof [sha256.Size]byte
}

// TicketVerdict is the decision on a request that came with a ticket.
type TicketVerdict string

// The verdicts on a ticket.
const (
	// TicketRun means that the request has not run: whoever called Begin runs it
	// now and must call Finish.
	TicketRun TicketVerdict = "run"
	// TicketJoin means that the request is running or has run: the answer of that
	// run is used.
	TicketJoin TicketVerdict = "join"
	// TicketForeign means that another process minted the ticket.
	TicketForeign TicketVerdict = "foreign"
	// TicketForged means that the proof is wrong: the home minted no ticket with
	// this nonce and expiry time.
	TicketForged TicketVerdict = "forged"
	// TicketExpired means that the ticket has expired and no run under it is
	// recorded. Whether it was used is no longer known.
	TicketExpired TicketVerdict = "expired"
	// TicketReused means that the ticket was already used for a request with
	// another fingerprint.
	TicketReused TicketVerdict = "reused"
	// TicketFull means that MaxTicketRuns runs are recorded.
	TicketFull TicketVerdict = "full"
	// TicketSealed means that the book is sealed, to be handed over to a
	// successor.
	TicketSealed TicketVerdict = "sealed"
)

// TicketRunState is a run under a ticket, either under way or ended.
type TicketRunState struct {
	Fingerprint string
	Expires     Millis
	done        chan struct{}
	// answer is set before done is closed.
	answer Answer
}

// Done returns a channel that is closed when the run has ended.
func (r *TicketRunState) Done() <-chan struct{} {
	return r.done
}

// Answer returns the run's answer. It may only be called after Done is closed.
func (r *TicketRunState) Answer() Answer {
	return r.answer
}

// TicketBook mints the tickets of one home and records the runs under them. A run
// is kept at least until its ticket expires, unless Finish removes it. Books are
// sent to peers as Book messages.
type TicketBook struct {
	clock   Clock
	home    Home
	address string
	secret  []byte

	mu     sync.Mutex
	sealed bool
	// runs holds the recorded runs by the nonce of their ticket.
	runs map[[16]byte]*TicketRunState
}

// NewTicketBook returns an empty book with a new secret, for a process that has
// just started.
func NewTicketBook(clock Clock, home Home, address string) *TicketBook {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret)
	return &TicketBook{
		clock:   clock,
		home:    home,
		address: address,
		secret:  secret,
		runs:    map[[16]byte]*TicketRunState{},
	}
}

// Home returns the process whose tickets the book holds.
func (b *TicketBook) Home() Home {
	return b.home
}

// Mint returns a new ticket, valid for TicketTTLMillis.
func (b *TicketBook) Mint() Ticket {
	ticket := Ticket{Home: b.home, Address: b.address, Expires: b.clock.Now() + TicketTTLMillis}
	_, _ = rand.Read(ticket.Nonce[:])
	copy(ticket.Proof[:], b.computeProof(ticket))
	return ticket
}

// computeProof returns the proof that the ticket has if this book minted it.
func (b *TicketBook) computeProof(ticket Ticket) []byte {
	mac := hmac.New(sha256.New, b.secret)
	mac.Write(ticket.Nonce[:])
	mac.Write(binary.BigEndian.AppendUint64(nil, uint64(ticket.Expires)))
	mac.Write([]byte(ticket.Address))
	return mac.Sum(nil)
}

// Begin decides on a request with the given fingerprint that came with a ticket.
// It records a new run for TicketRun. The returned run is nil unless the verdict
// is TicketRun or TicketJoin.
func (b *TicketBook) Begin(ticket Ticket, fingerprint string) (TicketVerdict, *TicketRunState) {
	if ticket.Home != b.home {
		return TicketForeign, nil
	}
	if !hmac.Equal(ticket.Proof[:], b.computeProof(ticket)) {
		return TicketForged, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return TicketSealed, nil
	}
	if run, ok := b.runs[ticket.Nonce]; ok {
		if run.Fingerprint != fingerprint {
			return TicketReused, nil
		}
		return TicketJoin, run
	}
	if b.clock.Now() >= ticket.Expires {
		return TicketExpired, nil
	}
	b.expire()
	if len(b.runs) >= MaxTicketRuns {
		return TicketFull, nil
	}
	run := &TicketRunState{Fingerprint: fingerprint, Expires: ticket.Expires, done: make(chan struct{})}
	b.runs[ticket.Nonce] = run
	return TicketRun, run
}

// Finish records the answer of a run and ends it. If the answer says that the
// request was not run, the run is removed and the ticket may be used again.
func (b *TicketBook) Finish(ticket Ticket, run *TicketRunState, answer Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.answer = answer
	if answer.Outcome == OutcomeNotRun {
		delete(b.runs, ticket.Nonce)
	}
	close(run.done)
}

// expire removes ended runs whose tickets have expired. The caller holds b.mu.
func (b *TicketBook) expire() {
	now := b.clock.Now()
	for nonce, run := range b.runs {
		if now >= run.Expires && run.ended() {
			delete(b.runs, nonce)
		}
	}
}

// ended reports whether the run has ended.
func (r *TicketRunState) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Runs returns the number of recorded runs.
func (b *TicketBook) Runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

// BookCopy is the content of a sealed book, sent to the successor that takes it
// over.
type BookCopy struct {
	Home   Home
	Secret []byte
	Runs   []RunCopy
}

// RunCopy is an ended run in a BookCopy.
type RunCopy struct {
	Nonce       [16]byte
	Fingerprint string
	Expires     Millis
	Answer      Answer
}

// Seal closes the book: no further request runs under its tickets here, and
// Begin returns TicketSealed. Seal waits for the runs under way and returns a
// copy for a successor.
func (b *TicketBook) Seal() BookCopy {
	b.mu.Lock()
	b.sealed = true
	running := make([]*TicketRunState, 0, len(b.runs))
	for _, run := range b.runs {
		running = append(running, run)
	}
	b.mu.Unlock()
	for _, run := range running {
		<-run.done
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	book := BookCopy{Home: b.home, Secret: b.secret}
	for nonce, run := range b.runs {
		book.Runs = append(book.Runs, RunCopy{
			Nonce:       nonce,
			Fingerprint: run.Fingerprint,
			Expires:     run.Expires,
			Answer:      run.answer,
		})
	}
	return book
}

// RestoreTicketBook returns the book of a stopped process at its successor. The
// book has no address, so it must not be used to mint tickets.
func RestoreTicketBook(clock Clock, book BookCopy) *TicketBook {
	runs := make(map[[16]byte]*TicketRunState, len(book.Runs))
	ended := make(chan struct{})
	close(ended)
	for _, run := range book.Runs {
		runs[run.Nonce] = &TicketRunState{
			Fingerprint: run.Fingerprint,
			Expires:     run.Expires,
			done:        ended,
			answer:      run.Answer,
		}
	}
	return &TicketBook{clock: clock, home: book.Home, secret: book.Secret, runs: runs}
}

// subject returns the home as the subject of a fact: "instance@incarnation".
func (h Home) subject() string {
	return h.Instance + "@" + strconv.FormatUint(h.Incarnation, 10)
}

// parseHome parses the result of Home.subject and reports whether it is valid.
func parseHome(subject string) (Home, bool) {
	index := strings.LastIndexByte(subject, '@')
	if index < 0 {
		return Home{}, false
	}
	incarnation, err := strconv.ParseUint(subject[index+1:], 10, 64)
	return Home{Instance: subject[:index], Incarnation: incarnation}, err == nil
}

// orderID returns the ID by which upstreams identify the order. It depends only
// on the ticket, so it is the same each time the order is sent.
func orderID(ticket Ticket) string {
	return hex.EncodeToString(ticket.Nonce[:])
}
