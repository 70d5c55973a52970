package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	host = "pupu76.example"
	// heartbeatInterval is how often backends write their entries.
	heartbeatInterval = 1200 * time.Millisecond
	// shards is the number of services that a query goes to.
	shards = 20
)

// lab is a small deployment: a store, backends, and machines of the system.
type lab struct {
	// name precedes the lines of the record.
	name         string
	root, folder string
	// ip is the loopback address of the deployment.
	ip       string
	store    *store
	servers  []*server
	machines []*machine
	balancer *balancer
	record   *record
	// parts are the deployments that are played side by side, if there are several.
	parts []*lab
}

// record is the file to which the labs write.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// part adds a deployment that is played beside others.
func (l *lab) part(n int) *lab {
	part := &lab{name: fmt.Sprintf("deployment %d: ", n+1), ip: loopbackAddress(n), root: l.root, folder: filepath.Join(l.folder, strconv.Itoa(n)), record: l.record}
	l.parts = append(l.parts, part)
	return part
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) { l.record.note(l.name+format, values...) }

// deploy starts the deployment at Huron Bay: six machines in three zones, twenty shards of two backends each, and a
// service with three.
func (l *lab) deploy() error {
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return err
	}
	var err error
	if l.store, err = newStore(l.ip); err != nil {
		return err
	}
	for n := range shards {
		for _, zone := range []string{"saginaw", "toledo"} {
			if err := l.addServer(&server{service: shardName(n), zone: zone, slots: 2, queue: 12, respBytes: 200}); err != nil {
				return err
			}
		}
	}
	for _, zone := range []string{"saginaw", "toledo", "erie"} {
		if err := l.addServer(&server{service: "prepress", zone: zone, slots: 6, queue: 24, respBytes: 3000}); err != nil {
			return err
		}
	}
	l.store.put("op/config", configuration())
	l.beat(0)
	go func() {
		for sequence := int64(1); ; sequence++ {
			time.Sleep(heartbeatInterval)
			l.beat(sequence)
		}
	}()
	zones := []string{"saginaw", "saginaw", "toledo", "toledo", "toledo", "erie"}
	if l.machines, err = newMachines(l.folder, l.ip, l.store.address, zones); err != nil {
		return err
	}
	for _, m := range l.machines {
		if err := m.start(l.root); err != nil {
			return err
		}
	}
	if err := awaitReady(l.machines, 15*time.Second); err != nil {
		return err
	}
	l.balancer = newBalancer(l.machines)
	return nil
}

func (l *lab) addServer(s *server) error {
	s.id = fmt.Sprintf("i-%s-%s", s.service, s.zone)
	l.servers = append(l.servers, s)
	return s.start(l.ip)
}

// beat writes the entries of all backends.
func (l *lab) beat(sequence int64) {
	for _, s := range l.servers {
		l.store.put("servers/"+s.id, s.entry(sequence))
	}
}

func shardName(n int) string { return fmt.Sprintf("desk%02d", n) }

// configuration returns the configuration that the operator writes.
func configuration() map[string]any {
	var gather []string
	services := []any{map[string]any{"name": "prepress", "health-path": "/health", "max-connections": 96}}
	for n := range shards {
		gather = append(gather, shardName(n))
		services = append(services, map[string]any{"name": shardName(n), "health-path": "/health", "max-connections": 25})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "price-lookup", "host": host, "path-prefix": "/price/", "gather": gather, "kind": "idempotent", "timeout-ms": priceLookup.timeout.Milliseconds(),
				"target-latency-ms": 100, "max-attempts": 3, "priority": 1, "top-k": 10, "minimum-coverage": 0.89,
			},
			map[string]any{
				"name": "promo-match", "host": host, "path-prefix": "/promo/", "gather": gather, "kind": "idempotent", "timeout-ms": promoMatch.timeout.Milliseconds(),
				"target-latency-ms": 50, "max-attempts": 3, "priority": 2, "top-k": 5, "minimum-coverage": 0.75,
			},
			map[string]any{
				"name": "proof-fetch", "host": host, "path-prefix": "/proof/", "service": "prepress", "kind": "idempotent", "timeout-ms": proofFetch.timeout.Milliseconds(),
				"target-latency-ms": 400, "max-attempts": 3, "priority": 2,
			},
		},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	}
}

// endMachines kills all machines that run.
func (l *lab) endMachines() {
	for _, m := range l.machines {
		m.end()
	}
	for _, part := range l.parts {
		part.endMachines()
	}
}
