package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now Millis }

func (m *manualClock) clock() Clock { return NewClockFrom(func() Millis { return m.now }) }

func TestTicketBook(t *testing.T) {
	Convey("Given a book and a ticket of it", t, func() {
		time := &manualClock{now: 1000}
		book := NewTicketBook(time.clock(), Home{"n1", 7}, "127.0.0.1:7100")
		ticket := book.Mint()
		begin := func(ticket Ticket, fingerprint string) TicketVerdict {
			verdict, _ := book.Begin(ticket, fingerprint)
			return verdict
		}
		Convey("it is run once and joined after that", func() {
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
			So(begin(ticket, "f"), ShouldEqual, TicketJoin)
		})
		Convey("another request under it is refused", func() {
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
			So(begin(ticket, "g"), ShouldEqual, TicketReused)
		})
		Convey("after a proof that nothing ran it may be used again", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Refuse("r", ReasonOverloaded, ""))
			So(begin(ticket, "f"), ShouldEqual, TicketRun)
		})
		Convey("after an unknown outcome it is never run again", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Unknown("r", ReasonTimeout, ""))
			So(begin(ticket, "f"), ShouldEqual, TicketJoin)
		})
		Convey("once expired it is not run, and a forgotten run is not repeated", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Answer{Outcome: OutcomeAnswered})
			time.now += TicketTTLMillis
			other := book.Mint()
			So(begin(other, "g"), ShouldEqual, TicketRun)
			So(begin(ticket, "f"), ShouldEqual, TicketExpired)
		})
		Convey("a changed ticket is forged", func() {
			ticket.Expires++
			So(begin(ticket, "f"), ShouldEqual, TicketForged)
		})
		Convey("a successor of the same name does not own it", func() {
			next := NewTicketBook(time.clock(), Home{"n1", 8}, "127.0.0.1:7100")
			verdict, _ := next.Begin(ticket, "f")
			So(verdict, ShouldEqual, TicketForeign)
		})
		Convey("a sealed book runs nothing, its copy goes on", func() {
			_, run := book.Begin(ticket, "f")
			book.Finish(ticket, run, Answer{Outcome: OutcomeAnswered, Result: "booked"})
			unused := book.Mint()
			adopted := OpenBookCopy(time.clock(), book.Seal())
			So(begin(unused, "g"), ShouldEqual, TicketSealed)
			verdict, copied := adopted.Begin(ticket, "f")
			So(verdict, ShouldEqual, TicketJoin)
			So(copied.Answer().Result, ShouldEqual, "booked")
			verdict, _ = adopted.Begin(unused, "g")
			So(verdict, ShouldEqual, TicketRun)
		})
	})
}

// TestTicketRunsAtMostOnce sends one order again and again, to the home, to its
// successor in name and to the instance that takes its book over, in any order.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		time := &manualClock{now: 1000}
		home := NewTicketBook(time.clock(), Home{"n1", 7}, "a")
		ticket := home.Mint()
		books := []*TicketBook{home, NewTicketBook(time.clock(), Home{"n1", 8}, "a")}
		runs := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				time.now += Millis(rapid.IntRange(1, int(TicketTTLMillis)).Draw(t, "wait"))
			case 1:
				if len(books) == 2 {
					books = append(books, OpenBookCopy(time.clock(), home.Seal()))
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
			t.Fatalf("%d runs", runs)
		}
	})
}
