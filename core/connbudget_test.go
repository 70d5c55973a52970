package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// budgetFixture is a budget of 1 MiB, of which 256 KiB are reserved, with a clock that the test sets.
type budgetFixture struct {
	*ConnectionBudget
	now atomic.Int64
	// closed holds the names of the connections that were closed, in this order.
	closed []string
}

func newBudgetFixture(connections int) *budgetFixture {
	f := &budgetFixture{}
	clock := NewClockFrom(func() Millis { return Millis(f.now.Load()) })
	f.ConnectionBudget = NewConnectionBudget(clock, ConnectionLimits{Bytes: 1 << 20, Connections: connections}, NewCounters(), nil)
	return f
}

// open opens a connection that holds bytes for a body. Its account ends when it is closed.
func (f *budgetFixture) open(name string, bytes int64) *ConnectionAccount {
	var account *ConnectionAccount
	account, err := f.Open(context.Background(), func() {
		f.closed = append(f.closed, name)
		account.Close()
	})
	So(err, ShouldBeNil)
	account.Enter(PhaseBody)
	So(account.Charge(context.Background(), bytes), ShouldBeNil)
	return account
}

// charge starts a charge and waits until it has been admitted or waits.
func (f *budgetFixture) charge(account *ConnectionAccount, bytes int64) <-chan error {
	result := make(chan error, 1)
	go func() { result <- account.Charge(context.Background(), bytes) }()
	for range 1000 {
		if len(result) > 0 || f.State().WaitingCharges > 0 && f.pending(account) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return result
}

func (f *budgetFixture) pending(account *ConnectionAccount) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return account.pending != nil
}

// TestConnectionBudgetSelection guards against closing a connection that makes progress, waits for
// the instance or holds little, while another one holds the memory.
func TestConnectionBudgetSelection(t *testing.T) {
	Convey("Given a budget that several connections have exhausted", t, func() {
		f := newBudgetFixture(0)
		older, larger, moving := f.open("older", 100<<10), f.open("larger", 250<<10), f.open("moving", 150<<10)
		executing, trickling := f.open("executing", 100<<10), f.open("trickling", 60<<10)
		executing.Enter(PhaseExecuting)
		newcomer := f.open("newcomer", 0)
		f.now.Store(900)
		older.Moved(50)
		larger.Moved(250 << 10)
		Convey("a charge waits while no connection is stalled", func() {
			result := f.charge(newcomer, 100<<10)
			So(f.State().WaitingCharges, ShouldEqual, 1)
			So(f.closed, ShouldBeEmpty)
			Convey("and is refused at last", func() {
				f.now.Store(900 + int64(BudgetWaitMillis))
				for _, account := range []*ConnectionAccount{older, larger, moving, trickling} {
					account.Enter(PhaseExecuting)
				}
				So(<-result, ShouldEqual, ErrBudgetExhausted)
				So(f.State().WaitingCharges, ShouldEqual, 0)
			})
		})
		Convey("the largest product of bytes and time without progress is closed first", func() {
			f.now.Store(2000)
			moving.Moved(150 << 10)
			trickling.Moved(1)
			f.closeStalled(demand{bytes: 2 << 20})
			So(f.closed, ShouldResemble, []string{"larger", "older", "trickling", "newcomer"})
			So(f.State().Bytes, ShouldEqual, 250<<10+2*ConnectionBytes)
		})
		Convey("no more are closed than needed", func() {
			f.now.Store(2000)
			moving.Moved(150 << 10)
			f.closeStalled(demand{bytes: 100 << 10})
			So(f.closed, ShouldResemble, []string{"larger"})
			So(newcomer.Charge(context.Background(), 100<<10), ShouldBeNil)
		})
	})
}

// TestConnectionBudgetAdmission guards against large requests that leave no memory for small ones,
// against refusing a single large request, and against many requests of which none completes.
func TestConnectionBudgetAdmission(t *testing.T) {
	Convey("Given a budget", t, func() {
		f := newBudgetFixture(0)
		Convey("a single request that is larger than the budget is admitted, a second one is not", func() {
			first, second := f.open("first", 5<<20), f.open("second", 0)
			result := f.charge(second, 100<<10)
			So(f.State().WaitingCharges, ShouldEqual, 1)
			first.Close()
			So(<-result, ShouldBeNil)
		})
		Convey("the reserved part is for small accounts", func() {
			f.open("large", 700<<10)
			large, small := f.open("other", 0), f.open("small", 0)
			result := f.charge(large, 100<<10)
			So(f.State().WaitingCharges, ShouldEqual, 1)
			So(<-f.charge(small, ConnectionBytes), ShouldBeNil)
			large.Close()
			So(<-result, ShouldNotBeNil)
		})
		Convey("returned memory goes to the waiting account that holds the most", func() {
			holder, less, more := f.open("holder", 500<<10), f.open("less", 50<<10), f.open("more", 100<<10)
			waitingLess, waitingMore := f.charge(less, 250<<10), f.charge(more, 250<<10)
			holder.Return(200 << 10)
			So(<-waitingMore, ShouldBeNil)
			So(f.pending(less), ShouldBeTrue)
			holder.Close()
			So(<-waitingLess, ShouldBeNil)
		})
		Convey("an answer doesn't wait, and a small one is always held", func() {
			f.open("large", 720<<10)
			account := f.open("account", 0)
			So(account.TryCharge(100<<10), ShouldBeFalse)
			So(account.TryCharge(ConnectionBytes), ShouldBeTrue)
		})
		Convey("idle connections are closed for small requests, not for a large one", func() {
			idle := f.open("idle", 0)
			idle.Enter(PhaseIdle)
			f.open("executing", 700<<10).Enter(PhaseExecuting)
			f.now.Store(5000)
			account := f.open("account", 0)
			So(account.TryCharge(100<<10), ShouldBeFalse)
			So(f.closed, ShouldBeEmpty)
			f.closeStalled(demand{smallBytes: 1 << 20, bytes: 1 << 20})
			So(f.closed, ShouldResemble, []string{"idle"})
		})
	})
}

// TestConnectionBound guards against idle connections that keep others from connecting.
func TestConnectionBound(t *testing.T) {
	Convey("At the bound, the connection that was idle longest is closed for a new one", t, func() {
		f := newBudgetFixture(2)
		f.open("a", 0).Enter(PhaseIdle)
		f.now.Store(500)
		f.open("b", 0).Enter(PhaseIdle)
		f.now.Store(1600)
		f.open("c", 0)
		So(f.closed, ShouldResemble, []string{"a"})
		Convey("and a new one waits while none is stalled", func() {
			f.now.Store(1000)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, err := f.Open(ctx, func() {})
			So(err, ShouldNotBeNil)
			So(f.State().Connections, ShouldEqual, 2)
		})
	})
}

// TestConnectionTimeouts guards against heads without end and against closing a connection that its
// caller may still use.
func TestConnectionTimeouts(t *testing.T) {
	Convey("Connections are closed once they exceed the timeout of their phase", t, func() {
		f := newBudgetFixture(0)
		f.open("idle", 0).Enter(PhaseIdle)
		f.open("head", 0).Enter(PhaseHead)
		f.open("body", 0)
		timeouts := ConnectionTimeouts{Head: 3000, Idle: 15000}
		for _, step := range []struct {
			now    int64
			closed []string
		}{{2999, nil}, {3001, []string{"head"}}, {12000, []string{"head"}}, {15001, []string{"head", "idle"}}} {
			f.now.Store(step.now)
			f.Expire(timeouts)
			So(f.closed, ShouldResemble, step.closed)
		}
	})
}

// TestConnectionBudgetLeaksNothing guards against charges that are not returned on some path.
func TestConnectionBudgetLeaksNothing(t *testing.T) {
	Convey("After any sequence of operations, connections that end leave nothing behind", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 50 {
			f := newBudgetFixture(0)
			var accounts []*ConnectionAccount
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			for range 200 {
				f.now.Add(random.Int64N(300))
				if len(accounts) < 10 {
					accounts = append(accounts, f.open("", 0))
				}
				account := accounts[random.IntN(len(accounts))]
				size := random.Int64N(300 << 10)
				switch random.IntN(7) {
				case 0:
					_ = account.Charge(ctx, size)
				case 1:
					account.TryCharge(size)
				case 2:
					account.Return(size)
				case 3:
					account.Settle(size)
				case 4:
					account.Enter(ConnectionPhase(random.IntN(len(phaseNames))))
				case 5:
					account.Close()
					accounts = slices.DeleteFunc(accounts, func(a *ConnectionAccount) bool { return a == account })
				case 6:
					f.Expire(ConnectionTimeouts{Head: 2000, Idle: 4000})
				}
				So(f.used, ShouldBeGreaterThanOrEqualTo, 0)
			}
			for _, account := range accounts {
				account.Close()
			}
			So([]int64{f.used, f.large, f.returning, int64(len(f.accounts)), int64(len(f.waiting))}, ShouldResemble, []int64{0, 0, 0, 0, 0})
		}
	})
}
