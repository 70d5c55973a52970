package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is an instance of the program on a machine of its own.
type machine struct {
	name, zone string
	// share is the share of a core.
	share float64

	caller, ready, peer, listenPeer, operator string
	relay                                     *relay
	process                                   *exec.Cmd
}

// deployment is a store, upstreams and instances.
type deployment struct {
	options
	dir      string
	store    *storeStandin
	address  string
	machines []*machine
	backends []*backend
	// closing is held while the processes are started or ended.
	closing sync.Mutex
	// slack is the retry-budget-slack of the deployment.
	slack float64
}

func newDeployment(o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lab4-")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, dir: dir, store: newStore(), slack: 52}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	go d.closeOnSignal()
	go func() { _ = (&http.Server{Handler: d.store.handler(), ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return d, nil
}

// closeOnSignal ends the case when it is interrupted.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	d.close()
	os.Exit(exitFailed)
}

// addBackend starts an upstream.
func (d *deployment) addBackend(b *backend) error {
	b.record = d.record
	d.backends = append(d.backends, b)
	return b.start(d.store)
}

// startMachines starts all instances. The first three are the seeds.
func (d *deployment) startMachines(relayed bool) error {
	for _, m := range d.machines {
		if err := m.assignAddresses(relayed); err != nil {
			return err
		}
	}
	var seeds []string
	for _, m := range d.machines[:min(3, len(d.machines))] {
		seeds = append(seeds, m.peer)
	}
	for _, m := range d.machines {
		if err := d.start(m, seeds, true); err != nil {
			return err
		}
	}
	return nil
}

// assignAddresses chooses free ports. If relayed is set, the other instances reach this one through a
// relay.
func (m *machine) assignAddresses(relayed bool) error {
	for _, address := range []*string{&m.caller, &m.ready, &m.listenPeer, &m.operator} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	m.peer = m.listenPeer
	if !relayed {
		return nil
	}
	var err error
	if m.relay, err = newRelay(); err != nil {
		return err
	}
	m.peer = m.relay.address()
	m.relay.forward(m.listenPeer)
	return nil
}

// firstPort and lastPort bound the ports of the instances. The system does not choose them for outgoing
// connections.
const (
	firstPort = 15000
	lastPort  = 31000
)

// nextPort is the next port to try.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return listener.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// start starts an instance with the command and the settings of the deploy file.
func (d *deployment) start(m *machine, seeds []string, firstStart bool) error {
	settings := map[string]any{
		"instance": m.name, "zone": m.zone, "interface": "routes",
		"callerAddress": m.caller, "readyAddress": m.ready, "peerAddress": m.peer,
		"operatorAddress": m.operator, "platformAddress": d.address, "peers": seeds,
		"drainMillis": 2500, "configurationMillis": 3000, "stopMillis": 6000,
		"repeats":    map[string]any{"ratio": 0.2, "slack": d.slack, "windowMillis": 10000},
		"firstStart": firstStart, "processor": map[string]any{"share": m.share, "speed": 1},
		"memoryMegabytes": 284, "fileDescriptors": 4100, "logLevel": "info",
	}
	if m.relay != nil {
		settings["listenPeerAddress"] = m.listenPeer
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, m.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.process = exec.Command(d.program, "entry")
	m.process.Env = append(os.Environ(), "ACACIAVANE_NODE_FILE="+file)
	m.process.Stdout, m.process.Stderr = log, log
	d.record.note("start %s in %s", m.name, m.zone)
	d.closing.Lock()
	defer d.closing.Unlock()
	return m.process.Start()
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.note("all instances are ready")
	return nil
}

func (m *machine) isReady() bool {
	response, err := http.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that the deployment has started.
func (d *deployment) close() {
	d.closing.Lock()
	defer d.closing.Unlock()
	for _, m := range d.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
	if os.Getenv("LAB4_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// answer is what a client has got.
type answer struct {
	id      string
	machine *machine
	sent    time.Time
	at      time.Time
	status  int
	header  http.Header
	body    string
	err     error
}

// clients sends requests and collects the answers.
type clients struct {
	d       *deployment
	host    string
	path    string
	timeout time.Duration

	wait sync.WaitGroup
	mu   sync.Mutex
	all  []answer
}

// send sends one request on a new connection.
func (c *clients) send(m *machine, id string) {
	defer c.wait.Done()
	sent := answer{id: id, machine: m, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.caller+c.path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		sent.status, sent.header, sent.body = response.StatusCode, response.Header, strings.TrimSpace(string(body))
	}
	sent.at, sent.err = time.Now(), err
	c.d.record.note("client: request %s sent to %s %d ms before, status %d, error %v", id, m.name, sent.at.Sub(sent.sent).Milliseconds(), sent.status, err)
	c.mu.Lock()
	c.all = append(c.all, sent)
	c.mu.Unlock()
}

// load sends requests to a machine at a rate, until stop is closed.
func (c *clients) load(m *machine, perSecond func() float64, stop <-chan struct{}) {
	defer c.wait.Done()
	next := time.Now()
	for count := 0; ; count++ {
		next = next.Add(time.Duration(float64(time.Second) / perSecond()))
		select {
		case <-time.After(time.Until(next)):
		case <-stop:
			return
		}
		c.wait.Add(1)
		go c.send(m, fmt.Sprintf("%s-%d", m.name, count))
	}
}

// counts returns how many answers had each status.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, a := range c.all {
		counts[a.status]++
	}
	return counts
}

// configuration returns a configuration with one route to one service.
func configuration(version int, host, service, kind string, maxAttempts, timeoutMillis, objectiveMillis, connections int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "desk", "host": host, "path-prefix": "/desk/", "service": service, "kind": kind,
			"timeout-ms": timeoutMillis, "target-latency-ms": objectiveMillis, "max-attempts": maxAttempts, "priority": 1,
		}},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-connections": connections}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
}
