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

// Binaries holds the paths of the programs that a cluster runs.
type Binaries struct {
	Acaciavane string
	Standin    string
}

// Build builds the programs of the module at root into a directory.
func Build(root, directory string) (Binaries, error) {
	binaries := Binaries{
		Acaciavane: filepath.Join(directory, "acaciavane"),
		Standin:    filepath.Join(directory, "standin"),
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
func BuildRevision(revision, directory string) (Binaries, error) {
	source := filepath.Join(directory, "revision-"+revision)
	output := filepath.Join(directory, "previous")
	for _, path := range []string{source, output} {
		if err := os.MkdirAll(path, 0o755); err != nil {
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

// Process is a child process of the cluster.
type Process struct {
	name     string
	command  *exec.Cmd
	done     chan struct{} // closed when the process has exited
	killOnce sync.Once
}

// start starts a program. The program appends its output to name.log in the directory.
func start(name, directory, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the process when its parent exits, even if the parent is killed.
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

// ID returns the ID of the process.
func (p *Process) ID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.killOnce.Do(func() {
		p.Signal(syscall.SIGKILL)
		<-p.done
	})
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// ErrStillRunning means that a process did not exit in time.
var ErrStillRunning = errors.New("process still running")

// Stop sends SIGTERM to the process and waits until it has exited.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Wait waits until the process has exited. It returns ErrStillRunning after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%w: %s", ErrStillRunning, p.name)
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
