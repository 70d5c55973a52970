package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"acaciavane/core"
	"acaciavane/io/configservice"
	"acaciavane/io/upstream"
)

// upstreamOptions holds the command-line options of a process that simulates
// upstreams.
type upstreamOptions struct {
	names                []string
	configuration        string
	control              string
	ledger               string
	medianServiceTime    time.Duration
	sigma                float64
	connectDelay         time.Duration
	queueLimit           int
	recordsPerCollection int
	seed                 uint64
	bindOffset           int
}

func upstreamCommand() *cobra.Command {
	var options upstreamOptions
	command := &cobra.Command{
		Use:   "upstream",
		Short: "Serve records of the configured collections",
		RunE: func(*cobra.Command, []string) error {
			return runUpstreams(options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.names, "name", nil, "names of the upstreams to simulate")
	flags.StringVar(&options.configuration, "configuration", "", "file with the published configuration")
	flags.StringVar(&options.control, "control", "", "address of the control interface")
	flags.StringVar(&options.ledger, "ledger", "", "file to which each run is appended; no ledger if empty")
	flags.DurationVar(&options.medianServiceTime, "median", 5*time.Millisecond, "median service time")
	flags.Float64Var(&options.sigma, "sigma", 0.4, "standard deviation of the logarithm of the service time")
	flags.DurationVar(&options.connectDelay, "connect", 0, "delay of the first read of a new connection")
	flags.IntVar(&options.queueLimit, "queue", 8, "requests that can wait for a slot; further requests are shed")
	flags.IntVar(&options.recordsPerCollection, "records", 2000, "number of records in each collection")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the random service times")
	flags.IntVar(&options.bindOffset, "bind-offset", 0, "added to the configured port, so that a relay can listen on that port")
	return command
}

func runUpstreams(options upstreamOptions) error {
	raw, err := os.ReadFile(options.configuration)
	if err != nil {
		return err
	}
	configuration, err := configservice.NewDecoder().ConfigurationFile(options.configuration, raw)
	if err != nil {
		return err
	}
	ledger, err := openLedger(options.ledger)
	if err != nil {
		return err
	}
	standins := map[string]*upstreamStandin{}
	for _, name := range options.names {
		u, err := newUpstream(options, configuration, name, ledger)
		if err != nil {
			return err
		}
		standins[name] = u
		if err := u.listen(); err != nil {
			return err
		}
	}
	go drainOnSignal(standins)
	return (&http.Server{Addr: options.control, Handler: newControlHandler(standins), ReadHeaderTimeout: time.Second}).ListenAndServe()
}

// drainOnSignal waits for SIGTERM, drains all upstreams of the process and exits.
func drainOnSignal(standins map[string]*upstreamStandin) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	for _, u := range standins {
		u.setState("leaving")
	}
	// drainDelay is the time for the instances to see the new state before the
	// servers shut down.
	const drainDelay = 5 * time.Second
	time.Sleep(drainDelay)
	for _, u := range standins {
		_ = u.server.Shutdown(context.Background())
	}
	os.Exit(0)
}

// upstreamStandin simulates one upstream.
type upstreamStandin struct {
	name        string
	address     string
	service     core.Service
	incarnation uint64
	options     upstreamOptions
	ledger      *ledger
	server      *http.Server
	slots       chan struct{}
	queued      atomic.Int64
	running     atomic.Int64
	connections connectionCounter

	mu        sync.Mutex
	random    *rand.Rand
	data      dataset
	snapshots map[string]map[uint64]bool
	behaviour behaviour
}

// behaviour holds the properties that the control interface can set.
type behaviour struct {
	// State is live, starting or leaving.
	State string `json:"state"`
	// DelayMillis is added to each service time.
	DelayMillis int64 `json:"delayMillis"`
	// Shed makes the upstream refuse all requests without running them.
	Shed bool `json:"shed"`
	// CrashOn makes the process exit when it runs a request whose body contains this
	// text. Empty disables it.
	CrashOn string `json:"crashOn"`
	// Fault names the fault to inject into each search reply; see writeReply. Orders
	// support only "cut".
	Fault string `json:"fault"`
	// Load is the load that the upstream reports.
	Load float64 `json:"load"`
}

// newUpstream returns the upstream that the configuration lists under name.
func newUpstream(options upstreamOptions, configuration core.Configuration, name string, ledger *ledger) (*upstreamStandin, error) {
	for _, service := range configuration.Services {
		for _, spec := range service.Upstreams {
			if spec.Name != name {
				continue
			}
			u := &upstreamStandin{
				name:        name,
				address:     offsetPort(spec.Address, options.bindOffset),
				service:     service,
				incarnation: uint64(time.Now().UnixMicro()),
				options:     options,
				ledger:      ledger,
				slots:       make(chan struct{}, service.Slots),
				random:      rand.New(rand.NewPCG(options.seed, core.Position(name))),
				behaviour:   behaviour{State: "live"},
			}
			u.loadConfiguration(configuration)
			return u, nil
		}
	}
	return nil, fmt.Errorf("no upstream %q in the configuration", name)
}

// loadConfiguration replaces the data by the partitions that the configuration
// assigns to the service, and makes the upstream serve all snapshots.
func (u *upstreamStandin) loadConfiguration(configuration core.Configuration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.data = newDataset(configuration, u.service.Name, u.options.recordsPerCollection)
	u.snapshots = map[string]map[uint64]bool{}
	for key := range u.data {
		if u.snapshots[key.collection] == nil {
			u.snapshots[key.collection] = map[uint64]bool{}
		}
		u.snapshots[key.collection][key.snapshot] = true
	}
}

func (u *upstreamStandin) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour.State = state
}

// listen opens the listener and serves requests in the background.
func (u *upstreamStandin) listen() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathSearch, u.search)
	mux.HandleFunc("POST "+upstream.PathOrder, u.order)
	mux.HandleFunc("GET "+upstream.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(u.status())
	})
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: u.connections.observe, ConnContext: withLateReply}
	go func() {
		_ = u.server.Serve(delayedListener{Listener: listener, delay: u.options.connectDelay})
	}()
	return nil
}

func (u *upstreamStandin) status() upstream.Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	snapshots := map[string][]uint64{}
	for collection, ids := range u.snapshots {
		snapshots[collection] = []uint64{}
		for id, served := range ids {
			if served {
				snapshots[collection] = append(snapshots[collection], id)
			}
		}
	}
	return upstream.Status{
		Incarnation: u.incarnation,
		State:       u.behaviour.State,
		Snapshots:   snapshots,
		Load:        u.behaviour.Load,
	}
}

func (u *upstreamStandin) currentBehaviour() behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *upstreamStandin) serves(collection string, snapshot uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[collection][snapshot]
}

// acquireSlot waits for a free slot. It returns an empty string if the request holds
// a slot, or else the reason why the request is not run.
func (u *upstreamStandin) acquireSlot(ctx context.Context, timeoutMillis int64) string {
	current := u.currentBehaviour()
	if current.Shed {
		return "shed"
	}
	select {
	case u.slots <- struct{}{}:
		return ""
	default:
	}
	if u.queued.Add(1) > int64(u.options.queueLimit) {
		u.queued.Add(-1)
		return "shed"
	}
	defer u.queued.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return ""
	case <-time.After(time.Duration(timeoutMillis) * time.Millisecond):
		return "deadline"
	case <-ctx.Done():
		return "cancelled"
	}
}

// simulateWork waits for a random log-normal service time, or until ctx is done. It
// ends the process if the body contains the text of CrashOn.
func (u *upstreamStandin) simulateWork(ctx context.Context, body string) {
	current := u.currentBehaviour()
	if current.CrashOn != "" && strings.Contains(body, current.CrashOn) {
		time.Sleep(time.Millisecond)
		os.Exit(3)
	}
	u.mu.Lock()
	scale := math.Exp(u.options.sigma * u.random.NormFloat64())
	u.mu.Unlock()
	duration := time.Duration(float64(u.options.medianServiceTime)*scale) + time.Duration(current.DelayMillis)*time.Millisecond
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (u *upstreamStandin) search(w http.ResponseWriter, r *http.Request) {
	sendLateReply(r)
	var request upstream.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := upstream.SearchReply{
		QueryID:   request.QueryID,
		AttemptID: request.AttemptID,
		Outcome:   upstream.OutcomeNotRun,
		End:       request.AttemptID,
	}
	if !u.serves(request.Collection, request.Snapshot) {
		reply.Reason = upstream.ReasonNoSnapshot
	} else if reply.Reason = u.acquireSlot(r.Context(), request.TimeoutMillis); reply.Reason == "" {
		u.runSearch(r.Context(), request, &reply)
		<-u.slots
	}
	reply.Status = u.status()
	u.writeReply(w, r, reply)
}

func (u *upstreamStandin) runSearch(ctx context.Context, request upstream.SearchRequest, reply *upstream.SearchReply) {
	u.ledger.add(ledgerEntry{Upstream: u.name, Incarnation: u.incarnation, AttemptID: request.AttemptID, QueryID: request.QueryID, Kind: request.Kind, Body: request.Body})
	u.running.Add(1)
	defer u.running.Add(-1)
	u.simulateWork(ctx, request.Body)
	reply.Outcome = upstream.OutcomeAnswered
	reply.Snapshot = request.Snapshot
	reply.Covered, reply.Records = u.data.search(request)
	reply.RecordCount = len(reply.Records)
}

// order runs an order. Unlike a search, an order runs to its end even if the
// connection is closed.
func (u *upstreamStandin) order(w http.ResponseWriter, r *http.Request) {
	var request upstream.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := upstream.OrderReply{
		QueryID:   request.QueryID,
		AttemptID: request.AttemptID,
		Outcome:   upstream.OutcomeNotRun,
		End:       request.AttemptID,
	}
	if reply.Reason = u.acquireSlot(r.Context(), request.TimeoutMillis); reply.Reason == "" {
		u.ledger.add(ledgerEntry{Upstream: u.name, Incarnation: u.incarnation, AttemptID: request.AttemptID, QueryID: request.QueryID, Kind: request.Kind, OrderID: request.OrderID, Body: request.Body, Key: request.Key})
		u.simulateWork(context.WithoutCancel(r.Context()), request.Body)
		reply.Outcome = upstream.OutcomeAnswered
		reply.Result = "booked " + request.Key
		<-u.slots
	}
	reply.Status = u.status()
	raw, _ := json.Marshal(reply)
	if u.currentBehaviour().Fault == "cut" {
		writeIncomplete(w, raw)
		return
	}
	_, _ = w.Write(raw)
}
