package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciavane/io/caller"
	"acaciavane/io/operator"
)

// Options configures a cluster.
type Options struct {
	Deployment Deployment
	Binaries   Binaries
	// Directory is the directory of the log files, settings files and ledgers.
	Directory string
	// Snapshots is the number of snapshots of each collection; 0 means 1.
	Snapshots int
	// Relay routes connections to peers, upstreams and the platform through a relay,
	// which can isolate zones.
	Relay bool
	// UpstreamsPerProcess is how many upstreams share a process; 0 means 1. Upstreams of
	// different services are grouped first.
	UpstreamsPerProcess int
	// NoLedger disables the ledgers and saves the cost of writing each run to a file.
	NoLedger bool
	// UpstreamArguments are additional command-line arguments of the upstream stand-ins.
	UpstreamArguments []string
	DrainMillis       int64
	// MemoryMegabytes is the memory limit of each entry instance; 0 means none.
	MemoryMegabytes int
	// LogLevel is the log level of the entry instances; empty means info.
	LogLevel string
	Policy   *PolicySettings
	// Listed reports whether the platform lists an entry instance; nil means that it lists all.
	Listed func(entry string) bool
}

// Entry is an entry instance of a cluster. Its addresses are those of its interfaces for
// callers, operators and peers.
type Entry struct {
	Name            string
	Zone            string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	settings        SettingsFile
	process         *Process
}

// Process returns the current process of the instance.
func (e *Entry) Process() *Process { return e.process }

// Client returns a new client that sends requests to the instance.
func (e *Entry) Client() *caller.Client { return caller.NewClient(e.CallerAddress) }

// Cluster is a running deployment.
type Cluster struct {
	options       Options
	ip            string
	Configuration ConfigurationFile
	Entries       []*Entry

	mu        sync.Mutex
	platform  *Process
	relay     *Process
	upstreams map[string]*upstreamProcess
	processes []*Process
	revision  uint64
}

// upstreamProcess is a process that runs one or more upstream stand-ins.
type upstreamProcess struct {
	names   []string
	control string
	process *Process
}

// Ports on the cluster's IP address. With a relay, the relay listens on the ports of
// peers, upstreams and platform, and the processes listen relayPortOffset above them.
const (
	platformPort             = 7900
	platformControlPort      = 7901
	relayControlPort         = 7902
	firstCallerPort          = 7000
	firstPeerPort            = 7100
	firstOperatorPort        = 7200
	firstUpstreamControlPort = 10000
	relayPortOffset          = 5000
	platformZone             = "platform"
	readyTimeout             = 20 * time.Second
)

var ipCount atomic.Int64

// NextIP returns a loopback IP address for the next cluster or process that this process
// starts. No outgoing connection can occupy a port of this address, because loopback
// connections have the source address 127.0.0.1.
func NextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, 1+(pid/200)%250, 1+ipCount.Add(1)%250)
}

// Start starts all processes of a deployment and waits until its entry
// instances are ready.
func Start(options Options) (*Cluster, error) {
	if options.Snapshots == 0 {
		options.Snapshots = 1
	}
	if options.LogLevel == "" {
		options.LogLevel = "info"
	}
	c := &Cluster{options: options, ip: NextIP(), upstreams: map[string]*upstreamProcess{}}
	c.Configuration = options.Deployment.Configuration(c.ip, 1, options.Snapshots)
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := os.WriteFile(c.path("configuration.json"), c.Configuration.JSON(), 0o644); err != nil {
		return err
	}
	c.planEntries()
	steps := []func() error{c.startRelay, c.startPlatform, c.startUpstreams, c.startEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return c.WaitReady(c.Entries...)
}

func (c *Cluster) path(name string) string { return filepath.Join(c.options.Directory, name) }

func (c *Cluster) address(port int) string { return c.ip + ":" + strconv.Itoa(port) }

// offset returns the number that is added to the ports of listeners behind the relay.
func (c *Cluster) offset() int {
	if c.options.Relay {
		return relayPortOffset
	}
	return 0
}

// zoneIP returns the source IP address of connections from the instances of a zone. The
// relay uses it to find the zone that a connection comes from.
func (c *Cluster) zoneIP(zone string) string {
	for i, name := range c.options.Deployment.Zones {
		if name == zone {
			parts := strings.Split(c.ip, ".")
			return fmt.Sprintf("127.%d.%s.%s", 211+i, parts[2], parts[3])
		}
	}
	return c.ip
}

// planEntries sets the names, addresses and settings of all entry instances.
func (c *Cluster) planEntries() {
	index := 0
	for replica := range c.options.Deployment.InstancesPerZone {
		for _, zone := range c.options.Deployment.Zones {
			entry := &Entry{
				Name:            fmt.Sprintf("%s-%d", zone, replica+1),
				Zone:            zone,
				CallerAddress:   c.address(firstCallerPort + index),
				PeerAddress:     c.address(firstPeerPort + index),
				OperatorAddress: c.address(firstOperatorPort + index),
			}
			c.Entries = append(c.Entries, entry)
			index++
		}
	}
	for i, entry := range c.Entries {
		entry.settings = SettingsFile{
			Instance:        entry.Name,
			Zone:            entry.Zone,
			CallerAddress:   entry.CallerAddress,
			PeerAddress:     entry.PeerAddress,
			OperatorAddress: entry.OperatorAddress,
			PlatformAddress: c.address(platformPort),
			DrainMillis:     c.options.DrainMillis,
			MemoryMegabytes: c.options.MemoryMegabytes,
			LogLevel:        c.options.LogLevel,
			Policy:          c.options.Policy,
			Peers:           []string{},
		}
		if c.options.Relay {
			entry.settings.SourceAddress = c.zoneIP(entry.Zone)
			entry.settings.ListenPeerAddress = c.address(firstPeerPort + i + relayPortOffset)
		}
	}
	c.setSeeds()
}

// setSeeds configures the first two instances of each zone as seed peers of all other
// instances.
func (c *Cluster) setSeeds() {
	seeds := c.Entries[:min(len(c.Entries), 2*len(c.options.Deployment.Zones))]
	for _, entry := range c.Entries {
		for _, seed := range seeds {
			if seed != entry {
				entry.settings.Peers = append(entry.settings.Peers, seed.PeerAddress)
			}
		}
	}
}

func (c *Cluster) startRelay() error {
	if !c.options.Relay {
		return nil
	}
	arguments := []string{"relay", "--control", c.address(relayControlPort)}
	addRoute := func(address, zone string) {
		host, port, _ := strings.Cut(address, ":")
		number, _ := strconv.Atoi(port)
		arguments = append(arguments, "--route",
			fmt.Sprintf("%s=%s:%d=%s", address, host, number+relayPortOffset, zone))
	}
	for _, zone := range c.options.Deployment.Zones {
		arguments = append(arguments, "--source", c.zoneIP(zone)+"="+zone)
	}
	for _, service := range c.Configuration.Services {
		for _, upstream := range service.Upstreams {
			addRoute(upstream.Address, upstream.Zone)
		}
	}
	for _, entry := range c.Entries {
		addRoute(entry.PeerAddress, entry.Zone)
	}
	addRoute(c.address(platformPort), platformZone)
	var err error
	c.relay, err = c.run("relay", c.options.Binaries.Standin, arguments...)
	if err != nil {
		return err
	}
	return c.retry(func() error { return c.Heal() })
}

func (c *Cluster) startPlatform() error {
	var err error
	c.platform, err = c.run("platform", c.options.Binaries.Standin, "platform",
		"--address", c.address(platformPort+c.offset()))
	if err != nil {
		return err
	}
	if err := c.retry(func() error { return c.Publish(c.Configuration) }); err != nil {
		return err
	}
	return c.PublishInstances(nil)
}

func (c *Cluster) startUpstreams() error {
	perProcess := max(1, c.options.UpstreamsPerProcess)
	var names []string
	maxReplicas := 0
	for _, service := range c.Configuration.Services {
		maxReplicas = max(maxReplicas, len(service.Upstreams))
	}
	for replica := range maxReplicas {
		for _, service := range c.Configuration.Services {
			if replica < len(service.Upstreams) {
				names = append(names, service.Upstreams[replica].Name)
			}
		}
	}
	for index := 0; len(names) > 0; index++ {
		count := min(perProcess, len(names))
		u := &upstreamProcess{names: names[:count], control: c.address(firstUpstreamControlPort + index)}
		names = names[count:]
		for _, name := range u.names {
			c.upstreams[name] = u
		}
		if err := c.startUpstream(u); err != nil {
			return err
		}
	}
	return c.waitForUpstreams()
}

// waitForUpstreams waits until all upstream processes answer at their control addresses.
// Their upstreams listen by then.
func (c *Cluster) waitForUpstreams() error {
	for name := range c.upstreams {
		err := c.retry(func() error {
			_, err := c.PeakConnections(name)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startUpstream(u *upstreamProcess) error {
	arguments := append([]string{
		"upstream",
		"--name", strings.Join(u.names, ","),
		"--configuration", c.path("configuration.json"),
		"--control", u.control,
		"--bind-offset", strconv.Itoa(c.offset()),
	}, c.options.UpstreamArguments...)
	if !c.options.NoLedger {
		arguments = append(arguments, "--ledger", c.path(u.names[0]+".ledger"))
	}
	var err error
	u.process, err = c.run("upstream-"+u.names[0], c.options.Binaries.Standin, arguments...)
	return err
}

func (c *Cluster) startEntries() error {
	for _, entry := range c.Entries {
		if err := c.StartEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the process of an instance. If an earlier process of the instance has
// exited, the new one runs under the same name.
func (c *Cluster) StartEntry(entry *Entry) error {
	raw, err := json.MarshalIndent(entry.settings, "", " ")
	if err != nil {
		return err
	}
	file := c.path(entry.Name + ".json")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return err
	}
	entry.process, err = c.run("entry-"+entry.Name, c.options.Binaries.Acaciavane, "entry", "--settings", file)
	return err
}

// run starts a process that Close ends.
func (c *Cluster) run(name, program string, arguments ...string) (*Process, error) {
	p, err := start(name, c.options.Directory, program, arguments...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// Close kills all processes of the cluster and waits until they have exited.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(9)
	}
	for _, p := range c.processes {
		_ = p.Wait(readyTimeout)
	}
}

// retry calls step until it succeeds or readyTimeout has passed. It returns the last error.
func (c *Cluster) retry(step func() error) error {
	return Eventually(readyTimeout, step)
}

// Eventually calls step until it succeeds or the timeout has passed. It returns the last
// error.
func Eventually(timeout time.Duration, step func() error) error {
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		err := step()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(interval)
	}
}

// ErrNotReady means that the readiness check of an instance failed.
var ErrNotReady = errors.New("instance not ready")

// WaitReady waits until the instances pass their readiness checks.
func (c *Cluster) WaitReady(entries ...*Entry) error {
	for _, entry := range entries {
		err := c.retry(func() error {
			_, err := c.get(entry.OperatorAddress + operator.PathReady)
			if err != nil {
				return fmt.Errorf("%w: %s: %w", ErrNotReady, entry.Name, err)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Ready reports whether an instance passes its readiness check.
func (c *Cluster) Ready(entry *Entry) bool {
	_, err := c.get(entry.OperatorAddress + operator.PathReady)
	return err == nil
}

// Publish publishes a configuration at the platform stand-in.
func (c *Cluster) Publish(file ConfigurationFile) error {
	return c.PublishRaw("configuration", file.JSON())
}

// PublishRaw publishes a value under a key at the platform stand-in.
func (c *Cluster) PublishRaw(key string, raw []byte) error {
	return c.put(c.platformControl()+"/control/values/"+key, raw)
}

func (c *Cluster) platformControl() string { return c.address(platformPort + c.offset()) }

// PublishInstances publishes the list of instances at the platform stand-in. leaving maps
// the names of upstreams to the incarnations that the list marks as leaving.
func (c *Cluster) PublishInstances(leaving map[string]uint64) error {
	c.revision++
	file := InstancesFile{Revision: c.revision}
	for _, entry := range c.Entries {
		if c.options.Listed != nil && !c.options.Listed(entry.Name) {
			continue
		}
		file.Instances = append(file.Instances, ListedInstance{
			Name: entry.Name, Role: "entry", Zone: entry.Zone, Address: entry.PeerAddress, State: "live",
		})
	}
	for _, service := range c.Configuration.Services {
		for _, upstream := range service.Upstreams {
			listed := ListedInstance{Name: upstream.Name, Role: "upstream", Zone: upstream.Zone, Address: upstream.Address, State: "live"}
			if incarnation, ok := leaving[upstream.Name]; ok {
				listed.State, listed.Incarnation = "leaving", incarnation
			}
			file.Instances = append(file.Instances, listed)
		}
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return c.PublishRaw("instances", raw)
}

// SetPlatformMode sets the mode of the platform stand-in: up, down or stale.
func (c *Cluster) SetPlatformMode(mode string) error {
	return c.put(c.platformControl()+"/control/mode/"+mode, nil)
}

// PlatformReads returns the number of reads that the platform stand-in has received.
func (c *Cluster) PlatformReads() (int64, error) {
	raw, err := c.get(c.platformControl() + "/control/reads")
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(string(raw), 10, 64)
}

// IsolateZones blocks all connections that enter or leave the zones. If silent is set, the
// relay holds all bytes back and keeps the connections open; otherwise it resets the
// connections.
func (c *Cluster) IsolateZones(silent bool, zones ...string) error {
	mode := "reset"
	if silent {
		mode = "silent"
	}
	return c.put(c.address(relayControlPort)+"/control/"+mode+"?"+url.Values{"zone": zones}.Encode(), nil)
}

// Heal ends the isolation of all zones.
func (c *Cluster) Heal() error {
	return c.put(c.address(relayControlPort)+"/control/heal", nil)
}

// Behaviour controls how an upstream stand-in behaves. State is live, starting or leaving.
// DelayMillis is added to each service time. With Shed, the upstream refuses all requests.
// A request whose body contains CrashOn ends the process. Fault names the way in which each
// reply is corrupted. Load is the load that the upstream reports.
type Behaviour struct {
	State       string  `json:"state,omitempty"`
	DelayMillis int64   `json:"delayMillis,omitempty"`
	Shed        bool    `json:"shed,omitempty"`
	CrashOn     string  `json:"crashOn,omitempty"`
	Fault       string  `json:"fault,omitempty"`
	Load        float64 `json:"load,omitempty"`
}

// SetBehaviour replaces the behaviour of the named upstreams. An empty State leaves their states
// unchanged.
func (c *Cluster) SetBehaviour(behaviour Behaviour, names ...string) error {
	raw, err := json.Marshal(behaviour)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := c.put(c.upstreams[name].control+"/control/behaviour/"+name, raw); err != nil {
			return err
		}
	}
	return nil
}

// SetSnapshotServed sets whether the named upstreams serve a snapshot of a collection.
func (c *Cluster) SetSnapshotServed(collection string, snapshot uint64, served bool, names ...string) error {
	for _, name := range names {
		path := fmt.Sprintf("/control/snapshot/%s/%s/%d/%t", name, collection, snapshot, served)
		if err := c.put(c.upstreams[name].control+path, nil); err != nil {
			return err
		}
	}
	return nil
}

// LoadConfiguration makes the named upstreams load the records that a configuration
// assigns to their services.
func (c *Cluster) LoadConfiguration(file ConfigurationFile, names ...string) error {
	for _, name := range names {
		if err := c.put(c.upstreams[name].control+"/control/configuration/"+name, file.JSON()); err != nil {
			return err
		}
	}
	return nil
}

// PeakConnections returns the highest number of connections to an upstream that callers held
// open at the same time.
func (c *Cluster) PeakConnections(name string) (int, error) {
	raw, err := c.get(c.upstreams[name].control + "/control/connections/" + name)
	if err != nil {
		return 0, err
	}
	var open, peak int
	_, err = fmt.Sscanf(string(raw), name+" %d %d", &open, &peak)
	return peak, err
}

// Upstreams returns the names of the upstreams of a collection's services.
func (c *Cluster) Upstreams(collection string) []string {
	var names []string
	for _, service := range c.Configuration.Services {
		if strings.HasPrefix(service.Name, collection+"-") {
			for _, upstream := range service.Upstreams {
				names = append(names, upstream.Name)
			}
		}
	}
	return names
}

// UpstreamProcess returns the current process of an upstream stand-in.
func (c *Cluster) UpstreamProcess(name string) *Process { return c.upstreams[name].process }

// RestartUpstream starts a new process for an upstream whose process has exited.
func (c *Cluster) RestartUpstream(name string) error { return c.startUpstream(c.upstreams[name]) }

// State returns the state that an instance reports at its operator address.
func (c *Cluster) State(entry *Entry) (operator.StateBody, error) {
	var state operator.StateBody
	raw, err := c.get(entry.OperatorAddress + operator.PathState)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(raw, &state)
}

// Run is a line of a ledger: a request that an upstream ran.
type Run struct {
	UnixMillis  int64  `json:"unixMillis"`
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	AttemptID   string `json:"attemptId"`
	QueryID     string `json:"queryId"`
	Kind        string `json:"kind"`
	Key         string `json:"key"`
	OrderID     string `json:"orderId"`
	Body        string `json:"body"`
}

// Ledger returns the runs in the ledgers of all upstreams.
func (c *Cluster) Ledger() ([]Run, error) {
	files, err := filepath.Glob(c.path("*.ledger"))
	if err != nil {
		return nil, err
	}
	var runs []Run
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(raw) {
			var run Run
			if err := json.Unmarshal(line, &run); err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
			runs = append(runs, run)
		}
	}
	return runs, nil
}

var controlClient = &http.Client{Timeout: 5 * time.Second}

func (c *Cluster) get(target string) ([]byte, error) {
	return c.call(http.MethodGet, target, nil)
}

func (c *Cluster) put(target string, body []byte) error {
	_, err := c.call(http.MethodPut, target, body)
	return err
}

func (c *Cluster) call(method, target string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", target, response.StatusCode, raw)
	}
	return raw, nil
}
