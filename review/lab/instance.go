//go:build reviewlab

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// instance is one entry instance that runs as a process.
type instance struct {
	lab      *lab
	name     string
	settings string
	caller   string
	ready    string
	peer     string
	command  *exec.Cmd
}

// freeAddresses returns free addresses on a loopback IP that no outgoing connection uses as its
// source, below the ports that the system gives out.
func freeAddresses(count int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
	var addresses []string
	for n := range count {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 7000+n))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startInstances starts one instance for each zone, with the settings that the template of the
// deploy file gives for a machine of 0.4 cores, and waits until all are ready. store returns the
// address at which an instance reaches the store.
func (l *lab) startInstances(zones []string, store func(number int) string) ([]*instance, error) {
	var instances []*instance
	var seeds []string
	addresses, err := freeAddresses(4 * len(zones))
	if err != nil {
		return nil, err
	}
	for n := range zones {
		seeds = append(seeds, addresses[4*n+2])
	}
	seeds = seeds[:min(3, len(seeds))]
	for n, zone := range zones {
		a := addresses[4*n : 4*n+4]
		i := &instance{lab: l, name: fmt.Sprintf("front-%s-%d", zone, n+1), caller: a[0], ready: a[1], peer: a[2]}
		i.settings = l.path(i.name + ".json")
		raw, err := json.MarshalIndent(map[string]any{
			"instance": i.name, "zone": zone, "interface": "routes",
			"callerAddress": a[0], "readyAddress": a[1], "peerAddress": a[2], "operatorAddress": a[3],
			"platformAddress": store(n), "peers": seeds,
			"drainMillis": 2500, "configurationMillis": l.configApply.Milliseconds(), "stopMillis": 6000,
			"repeats":    map[string]any{"ratio": 0.2, "slack": 52, "windowMillis": 10000},
			"firstStart": true, "processor": map[string]any{"share": l.share(n), "speed": 1},
			"memoryMegabytes": 284, "logLevel": "info",
		}, "", " ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(i.settings, raw, 0o600); err != nil {
			return nil, err
		}
		if n > 0 {
			time.Sleep(l.startGap)
		}
		if err := i.start(); err != nil {
			return nil, err
		}
		instances = append(instances, i)
		l.instances = append(l.instances, i)
	}
	for _, i := range instances {
		if err := i.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return instances, nil
}

// share returns the processor share of a machine.
func (l *lab) share(number int) float64 {
	if number < len(l.shares) {
		return l.shares[number]
	}
	return 0.4
}

// start starts the process as the deploy file says.
func (i *instance) start() error {
	log, err := os.OpenFile(i.lab.path(i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.command = exec.Command("target/acaciavane", "entry")
	i.command.Env = append(os.Environ(), "ACACIAVANE_NODE_FILE="+i.settings)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.lab.note("%s started, callers at %s", i.name, i.caller)
	return nil
}

// restart stops the process with SIGTERM, waits until it has ended and starts it again after a
// delay.
func (i *instance) restart(delay time.Duration) error {
	if err := i.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_ = i.command.Wait()
	i.lab.note("%s has ended", i.name)
	time.Sleep(delay)
	return i.start()
}

func (i *instance) kill() {
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Kill()
		_ = i.command.Wait()
		i.command = nil
	}
}

// awaitReady waits until the readiness check returns 200.
func (i *instance) awaitReady(wait time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.lab.note("%s ready", i.name)
			return nil
		}
	}
	return errors.New(i.name + " is not ready")
}
