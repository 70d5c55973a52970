package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// manualClock is a clock that stands still until a test changes now.
type manualClock struct{ now Millis }

func (m *manualClock) clock() Clock { return NewClockFrom(func() Millis { return m.now }) }

func TestTicketBook(t *testing.T) {
	Convey("Given a ticket book and a ticket that it minted", t, func() {
		manual := &manualClock{now: 1000}
		book := NewTicketBook(manual.clock(), Home{"n1", 7}, "127.0.0.1:7100")
		ticket := book.Mint()
		begin := func(ticket Ticket, fingerprint string) TicketVerdict {
			verdict, _ := book.Begin(ticket, fingerprint)
			return verdict
		}
		Convey("the request runs once and a repeat joins that run", func() {
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
			So(begin(ticket, "f"), ShouldEqual, TicketJoin)
		})
		Convey("another request under the ticket is refused", func() {
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
			So(begin(ticket, "g"), ShouldEqual, TicketReused)
		})
		Convey("after proof that nothing ran, the ticket may be used again", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Refuse("r", ReasonOverloaded, ""))
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
		})
		Convey("after an unknown outcome, a repeat joins the run and is not run again", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Unknown("r", ReasonTimeout, ""))
			So(begin(ticket, "f"), ShouldEqual, TicketJoin)
		})
		Convey("once the ticket has expired and its run is removed, a repeat is not run", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Answer{Outcome: OutcomeAnswered})
			manual.now += TicketTTLMillis
			other := book.Mint()
			So(begin(other, "g"), ShouldEqual, TicketRun)
			So(begin(ticket, "f"), ShouldEqual, TicketExpired)
		})
		Convey("a ticket with a changed expiry time is forged", func() {
			ticket.Expires++
			So(begin(ticket, "f"), ShouldEqual, TicketForged)
		})
		Convey("a ticket with a changed address is forged, also for the instance that takes the book over", func() {
			changed := ticket
			changed.Address = "127.0.0.1:7101"
			So(begin(changed, "f"), ShouldEqual, TicketForged)
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
		})
		Convey("a later incarnation of the same instance does not accept the ticket", func() {
			later := NewTicketBook(manual.clock(), Home{"n1", 8}, "127.0.0.1:7100")
			verdict, _ := later.Begin(ticket, "f")
			So(verdict, ShouldEqual, TicketForeign)
		})
		Convey("a sealed book runs nothing, and its copy continues from the same state", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Answer{Outcome: OutcomeAnswered, Result: "booked"})
			unused := book.Mint()
			adopted := RestoreTicketBook(manual.clock(), book.Seal())
			So(begin(unused, "g"), ShouldEqual, TicketSealed)
			verdict, joined := adopted.Begin(ticket, "f")
			So(verdict, ShouldEqual, TicketJoin)
			So(joined.Answer().Result, ShouldEqual, "booked")
			verdict, _ = adopted.Begin(unused, "g")
			So(verdict, ShouldEqual, TicketRun)
		})
	})
}

// TestTicketRunsAtMostOnce sends one order repeatedly, in random sequence, to
// its home, to a later incarnation of the home and to the instance that takes
// over the home's book. It guards against a second run after the ticket has
// expired, after the home was replaced or after the book was handed over.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := &manualClock{now: 1000}
		home := NewTicketBook(manual.clock(), Home{"n1", 7}, "a")
		ticket := home.Mint()
		books := []*TicketBook{home, NewTicketBook(manual.clock(), Home{"n1", 8}, "a")}
		runs := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				manual.now += Millis(rapid.IntRange(1, int(TicketTTLMillis)).Draw(t, "wait"))
			case 1:
				if len(books) == 2 {
					books = append(books, RestoreTicketBook(manual.clock(), home.Seal()))
				}
			default:
				book := books[rapid.IntRange(0, len(books)-1).Draw(t, "book")]
				verdict, run := book.Begin(ticket, "f")
				if verdict != TicketRun {
					continue
				}
				if rapid.Bool().Draw(t, "refused") {
					book.Finish(ticket, run, Refuse("", ReasonOverloaded, ""))
					continue
				}
				runs++
				book.Finish(ticket, run, Unknown("", ReasonTimeout, ""))
			}
		}
		if runs > 1 {
			t.Fatalf("the order ran %d times, want at most 1", runs)
		}
	})
}
