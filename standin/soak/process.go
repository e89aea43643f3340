package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/codes"
)

// exitTimeout is the time that a process gets to exit after a signal: its
// drain time and some seconds.
const exitTimeout = 20 * time.Second

// process is a process of the site. It may be started again after it has
// exited.
type process struct {
	name     string
	program  string
	settings string
	log      *os.File

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	shouldRun bool // expected to run; its exit is then reported to onFailure
	onFailure func(name string, err error)
}

// newProcess writes the settings file and creates the log file of a process
// that is not started yet.
func newProcess(folder, name, program string, settings []byte, onFailure func(string, error)) (*process, error) {
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{name: name, program: program, settings: path, log: log, onFailure: onFailure}, nil
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.program, "run", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return codes.Wrap(codes.Internal, err, "soak: can't start "+p.name)
	}
	p.command, p.exited, p.shouldRun = c, make(chan struct{}), true
	go p.await(c, p.exited)
	return nil
}

// await waits for the process to exit and reports an unexpected exit.
func (p *process) await(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	shouldRun := p.shouldRun && p.command == c
	p.mu.Unlock()
	close(exited)
	if shouldRun {
		p.onFailure(p.name, err)
	}
}

// signal sends a signal to the process that start has started last, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // fails only if it has exited, which await reports
	}
}

// terminate sends the process a signal and waits for its exit. It reports
// whether it exited in time; otherwise it is killed.
func (p *process) terminate(s syscall.Signal) bool {
	p.mu.Lock()
	p.shouldRun = false
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	p.signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(exitTimeout):
	}
	p.signal(syscall.SIGKILL)
	<-exited
	return false
}
