package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const (
	// host is the host of all routes.
	host = "pupu76.example"
	// heartbeatInterval is how often backends write their entries.
	heartbeatInterval = 1200 * time.Millisecond
	// firstVersion is the version of the first configuration.
	firstVersion = 7
	// readyPoll is how often the readiness of a starting instance is checked.
	readyPoll = 50 * time.Millisecond
)

// deployment is a store, backends and instances.
type deployment struct {
	dir string
	// kept is set if dir is not removed at the end.
	kept      bool
	store     *store
	ledger    *ledger
	instances []*instance

	mu       sync.Mutex
	backends []*backend
	sequence int
}

// newDeployment starts a store. The instances have their settings and logs in keep or, if that is
// empty, in a temporary directory.
func newDeployment(keep string) (*deployment, error) {
	dir := keep
	if keep == "" {
		temporary, err := os.MkdirTemp("", "review2")
		if err != nil {
			return nil, err
		}
		dir = temporary
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, kept: keep != "", store: s, ledger: &ledger{}}, nil
}

// addSmallDeployment adds the services, the configuration and the instances of the deployment of Huron Bay.
func (d *deployment) addSmallDeployment() error {
	zones := []string{"saginaw", "toledo", "erie"}
	var shards []string
	for n := range 20 {
		shard := fmt.Sprintf("huvo%02da", n)
		shards = append(shards, shard)
		if err := d.addService(shard, zones[:2], 2, 11*time.Millisecond); err != nil {
			return err
		}
	}
	const fetchService = "kafi81c"
	if err := d.addService(fetchService, zones, 6, 90*time.Millisecond); err != nil {
		return err
	}
	routes := []map[string]any{
		{"name": "r-zqghvik", "path-prefix": "/ziti980/ti38/", "timeout-ms": 1000, "target-latency-ms": 100, "priority": 1, "gather": shards, "top-k": 10, "minimum-coverage": 0.89},
		{"name": "r-kz7ubj6", "path-prefix": matchPrefix, "timeout-ms": 500, "target-latency-ms": 50, "priority": 2, "gather": shards, "top-k": 5, "minimum-coverage": 0.75},
		{"name": "r-s4qmv29", "path-prefix": "/timi402/", "timeout-ms": 4000, "target-latency-ms": 400, "priority": 2, "service": fetchService},
	}
	for _, route := range routes {
		route["host"], route["kind"], route["max-attempts"] = host, "idempotent", 2
	}
	services := []map[string]any{{"name": fetchService, "health-path": healthPath, "max-connections": 96, "protocol": "h1", "tls": false}}
	for _, shard := range shards {
		services = append(services, map[string]any{"name": shard, "health-path": healthPath, "max-connections": 25, "protocol": "h1", "tls": false})
	}
	d.store.put("op/config", map[string]any{"version": firstVersion, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	for n, zone := range []string{"saginaw", "saginaw", "toledo", "toledo", "toledo", "erie"} {
		if err := d.addInstance(n, zone); err != nil {
			return err
		}
	}
	return nil
}

// addService starts backends of a service, one in each zone.
func (d *deployment) addService(name string, zones []string, slots int, work time.Duration) error {
	for n, zone := range zones {
		b, err := newBackend(fmt.Sprintf("i-%s%d", name, n), name, zone, slots, work, d.ledger)
		if err != nil {
			return err
		}
		d.backends = append(d.backends, b)
		d.publish(b)
	}
	return nil
}

// publish writes the entry of a backend.
func (d *deployment) publish(b *backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	d.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": d.sequence, "born": b.born,
	})
}

// beat repeats the entries of the running backends until stop is closed.
func (d *deployment) beat(stop <-chan struct{}) {
	for {
		select {
		case <-time.After(heartbeatInterval):
		case <-stop:
			return
		}
		for _, b := range d.backends {
			if b.running() {
				d.publish(b)
			}
		}
	}
}

// restart starts a crashed backend again at its address, with a new ID. Its old entry is removed, as it
// expires after three heartbeats.
func (d *deployment) restart(b *backend) error {
	d.store.remove("servers/" + b.id)
	if err := b.startAgain(); err != nil {
		return err
	}
	d.publish(b)
	return nil
}

// instance is a process of the system.
type instance struct {
	name, zone                    string
	caller, ready, peer, operator string
	command                       *exec.Cmd
	done                          chan struct{}
}

// addInstance prepares an instance with a loopback address of its own.
func (d *deployment) addInstance(number int, zone string) error {
	i := &instance{name: fmt.Sprintf("front-%s-%d", zone, number+1), zone: zone}
	for _, address := range []*string{&i.caller, &i.ready, &i.peer, &i.operator} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 10+number))
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	d.instances = append(d.instances, i)
	return nil
}

// writeSettings writes the settings that deploy/settings.json.template describes and returns their path.
func (d *deployment) writeSettings(i *instance) (string, error) {
	var seeds []string
	for _, other := range d.instances[:min(3, len(d.instances))] {
		seeds = append(seeds, other.peer)
	}
	raw, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "zone": i.zone, "interface": "routes",
		"callerAddress": i.caller, "readyAddress": i.ready, "peerAddress": i.peer, "operatorAddress": i.operator,
		"platformAddress": d.store.address, "peers": seeds, "drainMillis": 2500, "configurationMillis": 3000, "stopMillis": 6000,
		"repeats": map[string]any{"ratio": 0.2, "slack": 52, "windowMillis": 10000}, "firstStart": true,
		"processor": map[string]any{"share": 0.4, "speed": 1}, "memoryMegabytes": 284, "fileDescriptors": 4100, "logLevel": "info",
	}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.dir, i.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts an instance with the command of the deploy file.
func (d *deployment) start(i *instance) error {
	settings, err := d.writeSettings(i)
	if err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, i.name+".log"))
	if err != nil {
		return err
	}
	i.command = exec.Command("target/acaciavane", "entry")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ACACIAVANE_NODE_FILE=" + settings}
	i.command.Stdout, i.command.Stderr = output, output
	if err := i.command.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		_ = output.Close()
		close(i.done)
	}()
	return nil
}

// startAll starts all instances and reports whether all are ready within the time.
func (d *deployment) startAll(timeout time.Duration) bool {
	for _, i := range d.instances {
		if err := d.start(i); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
	}
	until := time.Now().Add(timeout)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(readyPoll)
		}
	}
	return true
}

// isReady asks an instance whether it is ready.
func (i *instance) isReady() bool {
	response, err := http.Get("http://" + i.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all instances.
func (d *deployment) close() {
	for _, i := range d.instances {
		if i.done != nil {
			_ = i.command.Process.Kill()
			<-i.done
		}
	}
	if !d.kept {
		_ = os.RemoveAll(d.dir)
	}
}
