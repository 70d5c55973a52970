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

// Options are how a cluster is run.
type Options struct {
	Deployment Deployment
	Binaries   Binaries
	// Folder takes logs, settings and ledgers.
	Folder string
	// Snapshots is how many snapshots each collection has.
	Snapshots int
	// Relay puts the relay before all listeners, so that zones can be cut off.
	Relay bool
	// UpstreamsPerProcess groups upstreams of different services into processes.
	UpstreamsPerProcess int
	// NoLedger saves the cost of writing each run down.
	NoLedger bool
	// UpstreamArguments are further arguments of the upstream stand-ins.
	UpstreamArguments []string
	DrainMillis       int64
	LogLevel          string
	Policy            *PolicyFile
	// Listed says which entry instances the platform lists; nil lists all.
	Listed func(entry string) bool
}

// Entry is one entry instance of a cluster.
type Entry struct {
	Name     string
	Zone     string
	Caller   string
	Operator string
	Peer     string
	settings SettingsFile
	process  *Process
}

// Process returns the process that runs the instance now.
func (e *Entry) Process() *Process { return e.process }

// Client returns a caller's client of the instance.
func (e *Entry) Client() *caller.Client { return caller.NewClient(e.Caller) }

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

type upstreamProcess struct {
	names   []string
	control string
	process *Process
}

// Ports on the cluster's IP number. With a relay, the listeners themselves are
// bound at an offset.
const (
	portPlatform        = 7900
	portPlatformControl = 7901
	portRelayControl    = 7902
	portCaller          = 7000
	portPeer            = 7100
	portOperator        = 7200
	portUpstreamControl = 10000
	relayOffset         = 5000
	platformZone        = "platform"
	readyTimeout        = 20 * time.Second
)

var ipCount atomic.Int64

// NextIP returns a loopback IP number for the next cluster or process that this process
// starts. Outgoing connections never have it: over loopback they are made from 127.0.0.1.
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
	if err := os.WriteFile(c.file("configuration.json"), c.Configuration.JSON(), 0o644); err != nil {
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

func (c *Cluster) file(name string) string { return filepath.Join(c.options.Folder, name) }

func (c *Cluster) address(port int) string { return c.ip + ":" + strconv.Itoa(port) }

// offset is what is added to the ports that stand behind the relay.
func (c *Cluster) offset() int {
	if c.options.Relay {
		return relayOffset
	}
	return 0
}

// zoneIP is the IP number from which the instances of a zone connect.
func (c *Cluster) zoneIP(zone string) string {
	for i, name := range c.options.Deployment.Zones {
		if name == zone {
			parts := strings.Split(c.ip, ".")
			return fmt.Sprintf("127.%d.%s.%s", 211+i, parts[2], parts[3])
		}
	}
	return c.ip
}

func (c *Cluster) planEntries() {
	number := 0
	for round := range c.options.Deployment.InstancesPerZone {
		for _, zone := range c.options.Deployment.Zones {
			entry := &Entry{
				Name:     fmt.Sprintf("%s-%d", zone, round+1),
				Zone:     zone,
				Caller:   c.address(portCaller + number),
				Peer:     c.address(portPeer + number),
				Operator: c.address(portOperator + number),
			}
			c.Entries = append(c.Entries, entry)
			number++
		}
	}
	for i, entry := range c.Entries {
		entry.settings = SettingsFile{
			Instance:        entry.Name,
			Zone:            entry.Zone,
			CallerAddress:   entry.Caller,
			PeerAddress:     entry.Peer,
			OperatorAddress: entry.Operator,
			PlatformAddress: c.address(portPlatform),
			DrainMillis:     c.options.DrainMillis,
			LogLevel:        c.options.LogLevel,
			Policy:          c.options.Policy,
			Peers:           []string{},
		}
		if c.options.Relay {
			entry.settings.SourceAddress = c.zoneIP(entry.Zone)
			entry.settings.ListenPeerAddress = c.address(portPeer + i + relayOffset)
		}
	}
	c.linkPeers()
}

// linkPeers names the first instances of each zone as seeds of all others.
func (c *Cluster) linkPeers() {
	seeds := c.Entries[:min(len(c.Entries), 2*len(c.options.Deployment.Zones))]
	for _, entry := range c.Entries {
		for _, seed := range seeds {
			if seed != entry {
				entry.settings.Peers = append(entry.settings.Peers, seed.Peer)
			}
		}
	}
}

func (c *Cluster) startRelay() error {
	if !c.options.Relay {
		return nil
	}
	arguments := []string{"relay", "--control", c.address(portRelayControl)}
	route := func(public, zone string) {
		host, port, _ := strings.Cut(public, ":")
		number, _ := strconv.Atoi(port)
		arguments = append(arguments, "--route",
			fmt.Sprintf("%s=%s:%d=%s", public, host, number+relayOffset, zone))
	}
	for _, zone := range c.options.Deployment.Zones {
		arguments = append(arguments, "--source", c.zoneIP(zone)+"="+zone)
	}
	for _, service := range c.Configuration.Services {
		for _, upstream := range service.Upstreams {
			route(upstream.Address, upstream.Zone)
		}
	}
	for _, entry := range c.Entries {
		route(entry.Peer, entry.Zone)
	}
	route(c.address(portPlatform), platformZone)
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
		"--address", c.address(portPlatform+c.offset()))
	if err != nil {
		return err
	}
	if err := c.retry(func() error { return c.Publish(c.Configuration) }); err != nil {
		return err
	}
	return c.PublishInstances(nil)
}

func (c *Cluster) startUpstreams() error {
	per := max(1, c.options.UpstreamsPerProcess)
	var all []string
	most := 0
	for _, service := range c.Configuration.Services {
		most = max(most, len(service.Upstreams))
	}
	for replica := range most {
		for _, service := range c.Configuration.Services {
			if replica < len(service.Upstreams) {
				all = append(all, service.Upstreams[replica].Name)
			}
		}
	}
	for number := 0; len(all) > 0; number++ {
		count := min(per, len(all))
		u := &upstreamProcess{names: all[:count], control: c.address(portUpstreamControl + number)}
		all = all[count:]
		for _, name := range u.names {
			c.upstreams[name] = u
		}
		if err := c.startUpstream(u); err != nil {
			return err
		}
	}
	return c.waitUpstreams()
}

// waitUpstreams waits until all upstream processes listen.
func (c *Cluster) waitUpstreams() error {
	for name := range c.upstreams {
		err := c.retry(func() error {
			_, err := c.MostConnections(name)
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
		"--configuration", c.file("configuration.json"),
		"--control", u.control,
		"--bind-offset", strconv.Itoa(c.offset()),
	}, c.options.UpstreamArguments...)
	if !c.options.NoLedger {
		arguments = append(arguments, "--ledger", c.file(u.names[0]+".ledger"))
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

// StartEntry starts an instance, or its successor under the same name.
func (c *Cluster) StartEntry(entry *Entry) error {
	raw, err := json.MarshalIndent(entry.settings, "", " ")
	if err != nil {
		return err
	}
	file := c.file(entry.Name + ".json")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return err
	}
	entry.process, err = c.run("entry-"+entry.Name, c.options.Binaries.Acaciavane, "entry", "--settings", file)
	return err
}

func (c *Cluster) run(name, program string, arguments ...string) (*Process, error) {
	p, err := start(name, c.options.Folder, program, arguments...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// Close ends all processes of the cluster.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(9)
	}
	for _, p := range c.processes {
		_ = p.WaitEnd(readyTimeout)
	}
}

// retry repeats a step until it succeeds or the cluster takes too long to start.
func (c *Cluster) retry(step func() error) error {
	return Eventually(readyTimeout, step)
}

// Eventually repeats a step until it succeeds, and returns its last error when
// the time is up.
func Eventually(timeout time.Duration, step func() error) error {
	const pause = 20 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		err := step()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}

// ErrNotReady means that an instance does not say that it is ready.
var ErrNotReady = errors.New("instance not ready")

// WaitReady waits until the instances are ready and see each other.
func (c *Cluster) WaitReady(entries ...*Entry) error {
	for _, entry := range entries {
		err := c.retry(func() error {
			_, err := c.get(entry.Operator + operator.PathReady)
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

// Ready reports whether an instance says that it is ready.
func (c *Cluster) Ready(entry *Entry) bool {
	_, err := c.get(entry.Operator + operator.PathReady)
	return err == nil
}

// Publish publishes a configuration.
func (c *Cluster) Publish(file ConfigurationFile) error {
	return c.PublishRaw("configuration", file.JSON())
}

// PublishRaw publishes a value.
func (c *Cluster) PublishRaw(key string, raw []byte) error {
	return c.put(c.platformControl()+"/control/values/"+key, raw)
}

func (c *Cluster) platformControl() string { return c.address(portPlatform + c.offset()) }

// PublishInstances publishes the list of instances. leaving maps upstreams to
// the incarnation that the list says is leaving.
func (c *Cluster) PublishInstances(leaving map[string]uint64) error {
	c.revision++
	file := InstancesFile{Revision: c.revision}
	for _, entry := range c.Entries {
		if c.options.Listed != nil && !c.options.Listed(entry.Name) {
			continue
		}
		file.Instances = append(file.Instances, MemberFile{
			Name: entry.Name, Role: "entry", Zone: entry.Zone, Address: entry.Peer, State: "live",
		})
	}
	for _, service := range c.Configuration.Services {
		for _, upstream := range service.Upstreams {
			member := MemberFile{Name: upstream.Name, Role: "upstream", Zone: upstream.Zone, Address: upstream.Address, State: "live"}
			if incarnation, ok := leaving[upstream.Name]; ok {
				member.State, member.Incarnation = "leaving", incarnation
			}
			file.Instances = append(file.Instances, member)
		}
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return c.PublishRaw("instances", raw)
}

// Platform sets the platform's mode: up, down or stale.
func (c *Cluster) Platform(mode string) error {
	return c.put(c.platformControl()+"/control/mode/"+mode, nil)
}

// PlatformReads returns how many reads the platform has had.
func (c *Cluster) PlatformReads() (int64, error) {
	raw, err := c.get(c.platformControl() + "/control/reads")
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(string(raw), 10, 64)
}

// Cut cuts zones off. Silent cuts hold all bytes back, others reset connections.
func (c *Cluster) Cut(silent bool, zones ...string) error {
	mode := "reset"
	if silent {
		mode = "silent"
	}
	return c.put(c.address(portRelayControl)+"/control/"+mode+"?"+url.Values{"zone": zones}.Encode(), nil)
}

// Heal ends all cuts.
func (c *Cluster) Heal() error {
	return c.put(c.address(portRelayControl)+"/control/heal", nil)
}

// Behaviour is what an upstream stand-in can be told.
type Behaviour struct {
	State       string  `json:"state,omitempty"`
	DelayMillis int64   `json:"delayMillis,omitempty"`
	Shed        bool    `json:"shed,omitempty"`
	CrashOn     string  `json:"crashOn,omitempty"`
	Fault       string  `json:"fault,omitempty"`
	Load        float64 `json:"load,omitempty"`
}

// Behave sets the behaviour of upstreams.
func (c *Cluster) Behave(behaviour Behaviour, names ...string) error {
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

// Serve makes upstreams serve a snapshot, or drop it.
func (c *Cluster) Serve(collection string, snapshot uint64, served bool, names ...string) error {
	for _, name := range names {
		path := fmt.Sprintf("/control/snapshot/%s/%s/%d/%t", name, collection, snapshot, served)
		if err := c.put(c.upstreams[name].control+path, nil); err != nil {
			return err
		}
	}
	return nil
}

// LoadConfiguration makes upstreams hold what a configuration says.
func (c *Cluster) LoadConfiguration(file ConfigurationFile, names ...string) error {
	for _, name := range names {
		if err := c.put(c.upstreams[name].control+"/control/configuration/"+name, file.JSON()); err != nil {
			return err
		}
	}
	return nil
}

// MostConnections returns the most connections that were open at an upstream at once.
func (c *Cluster) MostConnections(name string) (int, error) {
	raw, err := c.get(c.upstreams[name].control + "/control/connections/" + name)
	if err != nil {
		return 0, err
	}
	var open, most int
	_, err = fmt.Sscanf(string(raw), name+" %d %d", &open, &most)
	return most, err
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

// UpstreamProcess returns the process that plays an upstream.
func (c *Cluster) UpstreamProcess(name string) *Process { return c.upstreams[name].process }

// RestartUpstream starts a successor of an upstream process that has ended.
func (c *Cluster) RestartUpstream(name string) error { return c.startUpstream(c.upstreams[name]) }

// State returns the state dump of an instance.
func (c *Cluster) State(entry *Entry) (operator.StateBody, error) {
	var state operator.StateBody
	raw, err := c.get(entry.Operator + operator.PathState)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(raw, &state)
}

// Run is a run that an upstream wrote into its ledger.
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

// Ledger returns all runs of all upstreams.
func (c *Cluster) Ledger() ([]Run, error) {
	files, err := filepath.Glob(c.file("*.ledger"))
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
