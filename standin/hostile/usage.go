package hostile

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Usage is the most memory and the most descriptors that a process had at one time.
type Usage struct {
	MemoryBytes int64
	Descriptors int
}

// sampleInterval is how often the number of open descriptors is read.
const sampleInterval = 10 * time.Millisecond

// Meter measures the usage of a process until it is stopped.
type Meter struct {
	pid         int
	stop        chan struct{}
	group       sync.WaitGroup
	descriptors int
}

// NewMeter starts to measure a process.
func NewMeter(pid int) *Meter {
	m := &Meter{pid: pid, stop: make(chan struct{})}
	m.group.Go(m.run)
	return m
}

func (m *Meter) run() {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)); err == nil {
			m.descriptors = max(m.descriptors, len(entries))
		}
		select {
		case <-time.After(sampleInterval):
		case <-m.stop:
			return
		}
	}
}

// Stop ends the measurement. It fails if the process no longer exists.
func (m *Meter) Stop() (Usage, error) {
	close(m.stop)
	m.group.Wait()
	peak, err := peakMemory(m.pid)
	return Usage{MemoryBytes: peak, Descriptors: m.descriptors}, err
}

// peakMemory returns the largest resident set that the process has had.
func peakMemory(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	var kilobytes int64
	for line := range strings.Lines(string(raw)) {
		if count, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); count == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", pid)
}
