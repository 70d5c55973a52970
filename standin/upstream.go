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

// upstreamOptions are the options of the upstream stand-ins of one process.
type upstreamOptions struct {
	names         []string
	configuration string
	control       string
	ledger        string
	median        time.Duration
	sigma         float64
	connect       time.Duration
	queue         int
	records       int
	seed          uint64
	bindOffset    int
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
	flags.StringSliceVar(&options.names, "name", nil, "names of the upstreams that this process plays")
	flags.StringVar(&options.configuration, "configuration", "", "published configuration")
	flags.StringVar(&options.control, "control", "", "address of the control interface")
	flags.StringVar(&options.ledger, "ledger", "", "file to which each run is appended")
	flags.DurationVar(&options.median, "median", 5*time.Millisecond, "median service time")
	flags.Float64Var(&options.sigma, "sigma", 0.4, "spread of the log-normal service time")
	flags.DurationVar(&options.connect, "connect", 0, "what a new connection costs")
	flags.IntVar(&options.queue, "queue", 8, "requests that wait for a slot before the rest is shed")
	flags.IntVar(&options.records, "records", 2000, "records of each collection")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the service times")
	flags.IntVar(&options.bindOffset, "bind-offset", 0, "added to the configured port, so that a relay can stand before the upstream")
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
	go leaveOnSignal(standins)
	return (&http.Server{Addr: options.control, Handler: upstreamControl(standins), ReadHeaderTimeout: time.Second}).ListenAndServe()
}

// leaveOnSignal drains all upstreams of the process and ends it.
func leaveOnSignal(standins map[string]*upstreamStandin) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	for _, u := range standins {
		u.setState("leaving")
	}
	const drain = 5 * time.Second
	time.Sleep(drain)
	for _, u := range standins {
		_ = u.server.Shutdown(context.Background())
	}
	os.Exit(0)
}

// upstreamStandin plays one upstream.
type upstreamStandin struct {
	name        string
	address     string
	service     core.Service
	incarnation uint64
	options     upstreamOptions
	ledger      *ledger
	server      *http.Server
	slots       chan struct{}
	waiting     atomic.Int64
	running     atomic.Int64
	connections connectionCount

	mu        sync.Mutex
	random    *rand.Rand
	data      dataset
	snapshots map[string]map[uint64]bool
	behaviour behaviour
}

// behaviour is what the control interface can set.
type behaviour struct {
	// State is live, starting or leaving.
	State string `json:"state"`
	// DelayMillis is added to each service time.
	DelayMillis int64 `json:"delayMillis"`
	// Shed refuses all requests as not run.
	Shed bool `json:"shed"`
	// CrashOn ends the process when a request's body contains it.
	CrashOn string `json:"crashOn"`
	// Fault spoils each reply; see spoil.
	Fault string `json:"fault"`
	// Load is the reported load.
	Load float64 `json:"load"`
}

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
			u.load(configuration)
			return u, nil
		}
	}
	return nil, fmt.Errorf("no upstream %q in the configuration", name)
}

// load takes over the partition maps: the upstream holds its service's ranges of
// each snapshot, and serves them all.
func (u *upstreamStandin) load(configuration core.Configuration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.data = newDataset(configuration, u.service.Name, u.options.records)
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
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: u.connections.observe}
	go func() {
		_ = u.server.Serve(slowListener{Listener: listener, cost: u.options.connect})
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

func (u *upstreamStandin) current() behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

func (u *upstreamStandin) serves(collection string, snapshot uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshots[collection][snapshot]
}

// enter waits for a slot. It returns why the request is not run, if it is not.
func (u *upstreamStandin) enter(ctx context.Context, timeoutMillis int64) string {
	now := u.current()
	if now.Shed {
		return "shed"
	}
	select {
	case u.slots <- struct{}{}:
		return ""
	default:
	}
	if u.waiting.Add(1) > int64(u.options.queue) {
		u.waiting.Add(-1)
		return "shed"
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return ""
	case <-time.After(time.Duration(timeoutMillis) * time.Millisecond):
		return "deadline"
	case <-ctx.Done():
		return "cancelled"
	}
}

// work takes the service time of one run, or less if the request is cancelled.
func (u *upstreamStandin) work(ctx context.Context, body string) {
	now := u.current()
	if now.CrashOn != "" && strings.Contains(body, now.CrashOn) {
		time.Sleep(time.Millisecond)
		os.Exit(3)
	}
	u.mu.Lock()
	scale := math.Exp(u.options.sigma * u.random.NormFloat64())
	u.mu.Unlock()
	duration := time.Duration(float64(u.options.median)*scale) + time.Duration(now.DelayMillis)*time.Millisecond
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (u *upstreamStandin) search(w http.ResponseWriter, r *http.Request) {
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
	} else if reply.Reason = u.enter(r.Context(), request.TimeoutMillis); reply.Reason == "" {
		u.runSearch(r.Context(), request, &reply)
		<-u.slots
	}
	reply.Status = u.status()
	u.write(w, r, reply)
}

func (u *upstreamStandin) runSearch(ctx context.Context, request upstream.SearchRequest, reply *upstream.SearchReply) {
	u.ledger.add(ledgerLine{Upstream: u.name, Incarnation: u.incarnation, AttemptID: request.AttemptID, QueryID: request.QueryID, Kind: request.Kind, Body: request.Body})
	u.running.Add(1)
	defer u.running.Add(-1)
	u.work(ctx, request.Body)
	reply.Outcome = upstream.OutcomeAnswered
	reply.Snapshot = request.Snapshot
	reply.Covered, reply.Records = u.data.search(request)
	reply.RecordCount = len(reply.Records)
}

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
	if reply.Reason = u.enter(r.Context(), request.TimeoutMillis); reply.Reason == "" {
		u.ledger.add(ledgerLine{Upstream: u.name, Incarnation: u.incarnation, AttemptID: request.AttemptID, QueryID: request.QueryID, Kind: request.Kind, OrderID: request.OrderID, Body: request.Body, Key: request.Key})
		u.work(context.WithoutCancel(r.Context()), request.Body)
		reply.Outcome = upstream.OutcomeAnswered
		reply.Result = "booked " + request.Key
		<-u.slots
	}
	reply.Status = u.status()
	raw, _ := json.Marshal(reply)
	if u.current().Fault == "cut" {
		cutOff(w, raw)
		return
	}
	_, _ = w.Write(raw)
}
