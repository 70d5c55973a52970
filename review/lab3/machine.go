package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is one process of the system.
type machine struct {
	name, zone                   string
	front, ready, control, inner string
	settings                     string
	process                      *exec.Cmd
	done                         chan struct{}
}

// loopbackAddress is a loopback address that no other deployment uses, so that they share no ports.
func loopbackAddress(deployment int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+deployment)
}

// freeAddresses returns addresses with different ports that nothing listens on.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for n := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses[n] = listener.Addr().String()
	}
	return addresses, nil
}

// newMachines returns one machine for each zone named, with the settings that the template of the deploy file gives
// them on the small deployment at Huron Bay.
func newMachines(folder, ip, storeAddress string, zones []string) ([]*machine, error) {
	const (
		maxSeeds            = 3
		addressesPerMachine = 4
	)
	var machines []*machine
	var seeds []string
	free, err := freeAddresses(ip, addressesPerMachine*len(zones))
	if err != nil {
		return nil, err
	}
	for n, zone := range zones {
		own := free[addressesPerMachine*n:]
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, front: own[0], ready: own[1], control: own[2], inner: own[3]}
		m.settings = filepath.Join(folder, m.name+".json")
		machines = append(machines, m)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range machines {
		raw, err := json.MarshalIndent(map[string]any{
			"instance": m.name, "zone": m.zone, "interface": "routes",
			"callerAddress": m.front, "readyAddress": m.ready, "peerAddress": m.control, "operatorAddress": m.inner,
			"platformAddress": storeAddress, "peers": seeds, "drainMillis": 2500, "configurationMillis": 3000, "stopMillis": 6000,
			"repeats":    map[string]any{"ratio": 0.2, "slack": 52, "windowMillis": 10000},
			"firstStart": true, "processor": map[string]any{"share": 0.4, "speed": 1},
			"memoryMegabytes": 284, "fileDescriptors": 4100, "logLevel": "info",
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	return machines, nil
}

// start starts the process as the deploy file says: target/acaciavane entry.
func (m *machine) start(root string) error {
	root, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	m.process = exec.Command(filepath.Join(root, "target", "acaciavane"), "entry")
	m.process.Dir = root
	m.process.Env = append(os.Environ(), "ACACIAVANE_NODE_FILE="+m.settings)
	if err := m.process.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func() {
		_ = m.process.Wait()
		close(m.done)
	}()
	return nil
}

func (m *machine) signal(signal syscall.Signal) { _ = m.process.Process.Signal(signal) }

// ends reports whether the process ends within the given time.
func (m *machine) ends(wait time.Duration) bool {
	select {
	case <-m.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// end kills the process, if it runs, and waits for its end.
func (m *machine) end() {
	if m.done == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.done
}

// awaitReady waits until all machines are ready.
func awaitReady(machines []*machine, wait time.Duration) error {
	until := time.Now().Add(wait)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return errors.New(m.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
