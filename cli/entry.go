package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/io/operator"
	"acaciavane/io/peer"
)

const (
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is how long a caller's connection may be idle before it is
	// closed. It is longer than the time for which callers of any deployment keep an
	// idle connection for reuse.
	callerIdleTimeout = 2 * time.Minute
	// heapPercent is the soft memory limit of the Go runtime, as a percentage of the instance's
	// memory. Near the limit, the runtime collects garbage more often. The rest is left for the
	// program itself and for socket buffers.
	heapPercent = 70
	// maxCallerHeadBytes bounds the head of a caller's request. It is more than an upstream
	// would read.
	maxCallerHeadBytes = 64 << 10
	// stopAnswerMargin is how long before the end of a planned stop the requests in flight are
	// ended, so that they are answered before the process exits.
	stopAnswerMargin = 500 * core.Millis(1)
	// stopExitMargin is how long before the end of a planned stop the process no longer waits for
	// requests. Half of it is left for calls between instances to end.
	stopExitMargin = 200 * core.Millis(1)
	// stopPollInterval is how often a stopping process checks for requests in flight.
	stopPollInterval = 10 * core.Millis(1)
	// handOverTimeout bounds the hand-over of the tickets to another instance.
	handOverTimeout = 2 * time.Second
)

func newEntryCommand(stdout io.Writer) *cobra.Command {
	var options entryOptions
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance",
		Long: `entry runs one instance until it receives SIGTERM or SIGINT. The instance then
reports that it is not ready, continues to serve for drainMillis, hands its tickets
over and exits when the requests in flight have ended.

` + exitCodesHelp,
		Example: "  acaciavane entry --settings examples/huron-bay/saginaw-1.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			return runEntry(command.Context(), stdout, options)
		},
	}
	options.bind(command)
	return command
}

func runEntry(ctx context.Context, stdout io.Writer, options entryOptions) error {
	raw, err := os.ReadFile(options.settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := operator.DecodeSettings(options.settings, raw)
	if err != nil {
		return err
	}
	output := operator.NewLogWriter(core.NewClock(), stdout, settings.Instance)
	defer output.Close()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes / 100 * heapPercent)
	}
	log, level, err := operator.NewLog(output, settings.Instance, settings.LogLevel)
	if err != nil {
		return err
	}
	server, err := newEntryServer(settings, log, level)
	if err != nil {
		return err
	}
	server.abort = func() {
		// The log writes its queue before it closes.
		output.Close()
		os.Exit(1)
	}
	server.reloader = &reloader{instance: server.instance, level: level, file: options.settings, raw: raw}
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.run(signalCtx)
}

// entryServer is an instance with the servers for its listeners.
type entryServer struct {
	instance *instance
	log      logr.Logger
	metrics  *operator.Metrics
	callers  *http.Server
	// callerListener is set once run listens, and callerConns are the connections of callers.
	callerListener net.Listener
	callerConns    *connTracker
	// ready is nil unless the balancer checks readiness at a separate address.
	ready    *http.Server
	admin    *http.Server
	peers    *peer.Server
	reloader *reloader
	// abort ends the process at once.
	abort func()
}

func newEntryServer(settings operator.Settings, log logr.Logger, level *operator.LogLevel) (*entryServer, error) {
	i := newInstance(settings, log)
	metrics, err := operator.NewMetrics(i.counters, operator.Gauges{
		InFlight: i.inFlight,
		ConfigurationVersion: func() uint64 {
			inForce, _ := i.store.Current()
			return inForce.Configuration.Version
		},
		PlatformAge:     i.store.PlatformAge,
		AlivePeers:      func() int { return len(i.peers.Alive()) },
		ExtraLoadTokens: i.budget.Tokens,
		Callers:         i.ports.callers.State,
	})
	if err != nil {
		return nil, err
	}
	handler := http.Handler(nil)
	var ready *http.Server
	if i.routes != nil {
		i.routes.router.Observe = metrics.ObserveRouted
		handler, ready = i.routes.callerHandler(), i.routes.newReadyServer()
	} else {
		handler = caller.New(i.clock, settings.Instance, i, i.counters, metrics.Observe, uuid.NewString, log).Handler()
	}
	conns := newConnTracker()
	callers := newServer(handler, maxCallerHeadBytes)
	callers.ConnState = conns.observe
	callers.BaseContext = func(net.Listener) context.Context { return i.shutdown.Context() }
	admin := operator.New(i.state, i.acceptsCallers, metrics, level, log)
	return &entryServer{
		instance:    i,
		log:         log,
		metrics:     metrics,
		callers:     callers,
		callerConns: conns,
		ready:       ready,
		admin:       newServer(admin.Handler(), maxPortHeadBytes),
		peers:       peer.NewServer(i.clock, i, i.counters, log),
	}, nil
}

// run serves until ctx ends, and then stops gracefully.
func (s *entryServer) run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	failed := make(chan error, 4)
	if err := s.listen(&group, failed); err != nil {
		return err
	}
	group.Go(func() error { return s.instance.run(taskCtx) })
	group.Go(func() error { return s.reloader.run(taskCtx) })
	s.log.Info("instance started", "zone", s.instance.self.Zone, "incarnation", s.instance.self.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		defer guardStop(s.instance.clock, s.instance.settings.StopTimeout, s.log, s.abort)()
		s.stop()
	case err = <-failed:
		s.close()
	}
	cancel()
	return errors.Join(err, group.Wait())
}

// listen opens all listeners and starts to serve them in the group. Errors of a server are
// sent to failed.
func (s *entryServer) listen(group *errgroup.Group, failed chan<- error) error {
	settings, ports := s.instance.settings, s.instance.ports
	type port struct {
		address string
		// budget is nil if the connections are not charged.
		budget *core.ConnectionBudget
		serve  func(net.Listener) error
	}
	serve := []port{
		{settings.CallerAddress, ports.callers, s.callers.Serve},
		{settings.OperatorAddress, ports.operator, s.admin.Serve},
		{settings.ListenPeerAddress, nil, s.peers.Serve},
	}
	if s.ready != nil {
		serve = append(serve, port{settings.ReadyAddress, ports.ready, s.ready.Serve})
	}
	for _, server := range serve {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", server.address, err)
		}
		if server.budget != nil {
			listener = ports.charge(listener, server.budget)
		}
		if server.address == settings.CallerAddress {
			s.callerListener = listener
		}
		group.Go(func() error {
			err := server.serve(listener)
			if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.instance.shutdown.Refusing() {
				failed <- fmt.Errorf("serve on %s: %w", server.address, err)
			}
			return nil
		})
	}
	return nil
}

// stop makes the balancer and the peers see that the instance is leaving and continues to serve
// until they have had time to react. It then refuses new requests, hands the tickets over and
// waits for the requests in flight.
func (s *entryServer) stop() {
	i := s.instance
	started := i.clock.Now()
	i.leaving.Store(true)
	i.peers.Leave()
	s.log.Info("stopping: no longer ready", "drainMillis", i.settings.Drain)
	_ = i.clock.Sleep(context.Background(), i.settings.Drain)
	i.shutdown.Refuse()
	_ = s.callerListener.Close()
	s.callers.SetKeepAlivesEnabled(false)
	s.handOver()
	s.finishRequests(started + i.settings.StopTimeout)
	s.close()
	s.log.Info("stopped")
}

// finishRequests waits until no requests are in flight, and until end at most. Shortly before end
// it ends those that are left, so that their callers get an answer.
func (s *entryServer) finishRequests(end core.Millis) {
	i := s.instance
	if !s.awaitIdle(end - stopAnswerMargin) {
		s.log.Info("ending the requests in flight", "callers", s.callerConns.activeCount(), "inFlight", i.inFlight())
		i.shutdown.EndRequests()
		if !s.awaitIdle(end - stopExitMargin) {
			s.log.Info("requests still in flight when the stop timed out", "callers", s.callerConns.activeCount(), "inFlight", i.inFlight())
		}
	}
	limitedCtx, cancel := i.clock.WithDeadline(context.Background(), max(end-stopExitMargin, i.clock.Now())+stopExitMargin/2)
	defer cancel()
	s.peers.Stop(limitedCtx)
}

// awaitIdle waits until no requests of callers or peers are in flight. It returns false if some
// still are at the deadline.
func (s *entryServer) awaitIdle(deadline core.Millis) bool {
	i := s.instance
	for s.callerConns.activeCount() > 0 || i.inFlight() > 0 {
		if i.clock.Now() >= deadline {
			return false
		}
		_ = i.clock.Sleep(context.Background(), stopPollInterval)
	}
	return true
}

// handOver gives the tickets of this instance to another one. An instance with the routes
// interface has no tickets.
func (s *entryServer) handOver() {
	if s.instance.routes != nil {
		return
	}
	limitedCtx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := s.instance.orders.HandOver(limitedCtx, s.instance.peers.Successors()); err != nil {
		s.log.Error(err, "no instance took over the tickets; the outcome of their orders will be unknown")
	}
	s.instance.peers.ExchangeWithAll(limitedCtx)
}

// close stops all servers without waiting for requests.
func (s *entryServer) close() {
	_ = s.callers.Close()
	if s.ready != nil {
		_ = s.ready.Close()
	}
	_ = s.admin.Close()
	s.instance.peerClient.Close()
	s.metrics.Close(context.Background())
	limitedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	s.peers.Stop(limitedCtx)
}
