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

// Home identifies the process that alone may run the requests under its tickets.
type Home struct {
	Instance    string
	Incarnation uint64
}

// Ticket allows one run of one request that may not be repeated. It names the
// process that minted it, which alone knows whether it was used.
type Ticket struct {
	Home Home
	// Address is where peers reach the home.
	Address string
	// Expires is read on the home's clock.
	Expires Millis
	Nonce   [16]byte
	// Proof is the HMAC-SHA-256 of the ticket under the home's secret.
	Proof [sha256.Size]byte
}

// TicketVerdict says what to do with a request under a ticket.
type TicketVerdict string

// The verdicts on a ticket.
const (
	// TicketRun means that the request has not run: the caller runs it now and
	// must call Finish.
	TicketRun TicketVerdict = "run"
	// TicketJoin means that the request runs or has run: its answer is shared.
	TicketJoin TicketVerdict = "join"
	// TicketForeign means that another process minted the ticket.
	TicketForeign TicketVerdict = "foreign"
	// TicketForged means that the home did not mint the ticket.
	TicketForged TicketVerdict = "forged"
	// TicketExpired means that the ticket is too old to tell whether it was used.
	TicketExpired TicketVerdict = "expired"
	// TicketReused means that another request was made under the ticket.
	TicketReused TicketVerdict = "reused"
	// TicketFull means that the home can remember no more runs.
	TicketFull TicketVerdict = "full"
	// TicketSealed means that the home has handed its tickets over.
	TicketSealed TicketVerdict = "sealed"
)

// TicketRunState is a run under a ticket that is under way or has ended.
type TicketRunState struct {
	Fingerprint string
	Expires     Millis
	done        chan struct{}
	answer      Answer
}

// Done is closed when the run has ended.
func (r *TicketRunState) Done() <-chan struct{} {
	return r.done
}

// Answer returns the answer of a run that has ended.
func (r *TicketRunState) Answer() Answer {
	return r.answer
}

// TicketBook mints tickets and remembers the runs under them until they expire.
type TicketBook struct {
	clock   Clock
	home    Home
	address string
	secret  []byte

	mu     sync.Mutex
	sealed bool
	runs   map[[16]byte]*TicketRunState
}

// NewTicketBook returns the book of a process that has just started.
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

// Home returns the process that the book belongs to.
func (b *TicketBook) Home() Home {
	return b.home
}

// Mint returns a fresh ticket.
func (b *TicketBook) Mint() Ticket {
	ticket := Ticket{Home: b.home, Address: b.address, Expires: b.clock.Now() + TicketTTLMillis}
	_, _ = rand.Read(ticket.Nonce[:])
	copy(ticket.Proof[:], b.prove(ticket))
	return ticket
}

func (b *TicketBook) prove(ticket Ticket) []byte {
	mac := hmac.New(sha256.New, b.secret)
	mac.Write(ticket.Nonce[:])
	mac.Write(binary.BigEndian.AppendUint64(nil, uint64(ticket.Expires)))
	return mac.Sum(nil)
}

// Begin says what to do with a request under a ticket.
func (b *TicketBook) Begin(ticket Ticket, fingerprint string) (TicketVerdict, *TicketRunState) {
	if ticket.Home != b.home {
		return TicketForeign, nil
	}
	if !hmac.Equal(ticket.Proof[:], b.prove(ticket)) {
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

// Finish ends a run. After an answer that proves the request was not run, the
// ticket may be used again.
func (b *TicketBook) Finish(ticket Ticket, run *TicketRunState, answer Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.answer = answer
	if answer.Outcome == OutcomeNotRun {
		delete(b.runs, ticket.Nonce)
	}
	close(run.done)
}

// expire forgets ended runs whose tickets can no longer be used.
func (b *TicketBook) expire() {
	now := b.clock.Now()
	for nonce, run := range b.runs {
		if now >= run.Expires && run.ended() {
			delete(b.runs, nonce)
		}
	}
}

func (r *TicketRunState) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Runs returns how many runs are remembered.
func (b *TicketBook) Runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

// BookCopy is what a successor needs to take over a sealed book.
type BookCopy struct {
	Home   Home
	Secret []byte
	Runs   []RunCopy
}

// RunCopy is one ended run of a sealed book.
type RunCopy struct {
	Nonce       [16]byte
	Fingerprint string
	Expires     Millis
	Answer      Answer
}

// Seal ends the book's authority: no further request runs under its tickets
// here. It waits for the runs under way and returns the copy for a successor.
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

// OpenBookCopy returns the book of a stopped process for its successor.
func OpenBookCopy(clock Clock, book BookCopy) *TicketBook {
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

// subject returns the home as the subject of a fact.
func (h Home) subject() string {
	return h.Instance + "@" + strconv.FormatUint(h.Incarnation, 10)
}

func parseHome(subject string) (Home, bool) {
	index := strings.LastIndexByte(subject, '@')
	if index < 0 {
		return Home{}, false
	}
	incarnation, err := strconv.ParseUint(subject[index+1:], 10, 64)
	return Home{Instance: subject[:index], Incarnation: incarnation}, err == nil
}

// orderID returns the identity under which an upstream books the order. It is
// the same for each sending under the ticket.
func orderID(ticket Ticket) string {
	return hex.EncodeToString(ticket.Nonce[:])
}
