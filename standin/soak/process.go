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

// endMost is how long a process may take to end after SIGTERM: its drain time and
// some seconds.
const endMost = 20 * time.Second

// process is one program of the site. It may be started again after it has ended.
type process struct {
	name     string
	program  string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool // to run; one that ends meanwhile has failed
	failed  func(name string, err error)
}

func newProcess(folder, name, program string, settings []byte, failed func(string, error)) (*process, error) {
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{name: name, program: program, settings: path, log: log, failed: failed}, nil
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.program, "run", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return codes.Wrap(codes.Internal, err, "soak: can't start "+p.name)
	}
	p.command, p.ended, p.wanted = c, make(chan struct{}), true
	go p.await(c, p.ended)
	return nil
}

func (p *process) await(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	wanted := p.wanted && p.command == c
	p.mu.Unlock()
	close(ended)
	if wanted {
		p.failed(p.name, err)
	}
}

// signal sends a signal to the process that start started, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // one that has just ended is told to failed
	}
}

// end ends the process by a signal. It reports whether that was in time; one that
// was late is killed.
func (p *process) end(s syscall.Signal) bool {
	p.mu.Lock()
	p.wanted = false
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	p.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(endMost):
	}
	p.signal(syscall.SIGKILL)
	<-ended
	return false
}
