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

	"acaciavane/io/caller"
	"acaciavane/io/operator"
	"acaciavane/io/peer"
)

const (
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout closes connections of callers that send nothing. It is
	// longer than callers of any deployment keep a connection that they use again.
	callerIdleTimeout = 2 * time.Minute
	// heapPercent is the part of its memory that the runtime of an instance may fill before it
	// collects garbage more often. The rest is for the program and for what is in sockets.
	heapPercent = 70
	// maxCallerHeadBytes is more than the head of a request that an upstream would read.
	maxCallerHeadBytes = 64 << 10
	// handOverTimeout bounds the hand-over of the tickets.
	handOverTimeout = 2 * time.Second
)

func newEntryCommand(stdout io.Writer) *cobra.Command {
	var options entryOptions
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance",
		Long: `entry runs one serving instance until it gets SIGTERM or SIGINT. It then says
that it is not ready, goes on serving for drainMillis, hands its tickets over and
ends once the requests in flight have ended.

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
	output := operator.NewLogWriter(stdout)
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
	server.reloader = &reloader{instance: server.instance, level: level, file: options.settings, raw: raw}
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.run(signalled)
}

// entryServer is an instance with its three listeners.
type entryServer struct {
	instance *instance
	log      logr.Logger
	metrics  *operator.Metrics
	callers  *http.Server
	// ready is set for an instance whose balancer asks at an address of its own.
	ready    *http.Server
	admin    *http.Server
	peers    *peer.Server
	reloader *reloader
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
	})
	if err != nil {
		return nil, err
	}
	handler := http.Handler(nil)
	var ready *http.Server
	if i.routes != nil {
		i.routes.router.Observe = metrics.ObserveRouted
		handler, ready = i.routes.callers(), i.routes.serveReady()
	} else {
		handler = caller.New(i.clock, settings.Instance, i, i.counters, metrics.Observe, uuid.NewString, log).Handler()
	}
	admin := operator.New(i.state, i.readyForMore, metrics, level, log)
	return &entryServer{
		instance: i,
		log:      log,
		metrics:  metrics,
		callers: &http.Server{
			Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeadBytes,
		},
		ready: ready,
		admin: &http.Server{Handler: admin.Handler(), ReadHeaderTimeout: readHeaderTimeout},
		peers: peer.NewServer(i.clock, i, i.counters, log),
	}, nil
}

// run serves until ctx ends, then stops gracefully.
func (s *entryServer) run(ctx context.Context) error {
	tasks, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	failed := make(chan error, 4)
	if err := s.listen(&group, failed); err != nil {
		return err
	}
	group.Go(func() error { return s.instance.run(tasks) })
	group.Go(func() error { return s.reloader.run(tasks) })
	s.log.Info("instance started", "zone", s.instance.self.Zone, "incarnation", s.instance.self.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		s.stop()
	case err = <-failed:
		s.close()
	}
	cancel()
	return errors.Join(err, group.Wait())
}

func (s *entryServer) listen(group *errgroup.Group, failed chan<- error) error {
	settings := s.instance.settings
	serve := []struct {
		address string
		serve   func(net.Listener) error
	}{
		{settings.CallerAddress, s.callers.Serve},
		{settings.OperatorAddress, s.admin.Serve},
		{settings.ListenPeerAddress, s.peers.Serve},
	}
	if s.ready != nil {
		serve = append(serve, struct {
			address string
			serve   func(net.Listener) error
		}{settings.ReadyAddress, s.ready.Serve})
	}
	for _, server := range serve {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", server.address, err)
		}
		group.Go(func() error {
			err := server.serve(listener)
			if err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve on %s: %w", server.address, err)
			}
			return nil
		})
	}
	return nil
}

// stop lets the balancer and the peers know, goes on serving until they have
// noticed, hands the tickets over and waits for the requests in flight.
func (s *entryServer) stop() {
	i := s.instance
	i.leaving.Store(true)
	i.peers.Leave()
	s.log.Info("stopping: not ready any more", "drainMillis", i.settings.Drain)
	_ = i.clock.Sleep(context.Background(), i.settings.Drain)
	s.handOver()
	limited, cancel := context.WithTimeout(context.Background(), (i.settings.Stop - i.settings.Drain).Duration())
	defer cancel()
	if err := s.callers.Shutdown(limited); err != nil {
		s.log.Error(err, "requests were still in flight at the end of the stop")
	}
	s.peers.Stop(limited)
	s.close()
	s.log.Info("stopped")
}

// handOver passes the tickets of orders on. Routed requests have none.
func (s *entryServer) handOver() {
	if s.instance.routes != nil {
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := s.instance.orders.HandOver(limited, s.instance.peers.Successors()); err != nil {
		s.log.Error(err, "no instance took over the tickets; orders under them will be unknown")
	}
	s.instance.peers.Tell(limited)
}

func (s *entryServer) close() {
	_ = s.callers.Close()
	if s.ready != nil {
		_ = s.ready.Close()
	}
	_ = s.admin.Close()
	s.instance.peerClient.Close()
	s.metrics.Close(context.Background())
	limited, cancel := context.WithCancel(context.Background())
	cancel()
	s.peers.Stop(limited)
}
