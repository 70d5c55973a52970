package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Binaries are the programs that a cluster runs.
type Binaries struct {
	Acaciavane string
	Standin    string
}

// Build builds the programs of the module at root into a folder.
func Build(root, folder string) (Binaries, error) {
	binaries := Binaries{
		Acaciavane: filepath.Join(folder, "acaciavane"),
		Standin:    filepath.Join(folder, "standin"),
	}
	for output, source := range map[string]string{binaries.Acaciavane: ".", binaries.Standin: "./standin"} {
		command := exec.Command("go", "build", "-o", output, source)
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			return Binaries{}, fmt.Errorf("build %s: %w: %s", source, err, out)
		}
	}
	return binaries, nil
}

// BuildRevision builds the programs of an earlier revision of this repository.
func BuildRevision(revision, folder string) (Binaries, error) {
	source := filepath.Join(folder, "revision-"+revision)
	output := filepath.Join(folder, "previous")
	for _, created := range []string{source, output} {
		if err := os.MkdirAll(created, 0o755); err != nil {
			return Binaries{}, err
		}
	}
	archive, err := exec.Command("git", "archive", "--format=tar", revision).Output()
	if err != nil {
		return Binaries{}, fmt.Errorf("archive revision %s: %w", revision, err)
	}
	extract := exec.Command("tar", "-x", "-C", source)
	extract.Stdin = bytes.NewReader(archive)
	if out, err := extract.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("extract revision %s: %w: %s", revision, err, out)
	}
	return Build(source, output)
}

// Process is a process that the cluster started.
type Process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	once    sync.Once
}

func start(name, folder, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	// The process ends with the one that started it, also when that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.once.Do(func() {
		p.Signal(syscall.SIGKILL)
		<-p.done
	})
}

// Freeze suspends the process.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a suspended process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// ErrStillRunning means that a process did not end in time.
var ErrStillRunning = errors.New("process still running")

// Stop asks the process to end and waits for it.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.WaitEnd(timeout)
}

// WaitEnd waits until the process has ended.
func (p *Process) WaitEnd(timeout time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%w: %s", ErrStillRunning, p.name)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
