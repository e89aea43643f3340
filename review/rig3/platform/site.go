// Package platform plays the users' platform around the project's own programs on
// loopback: settings, processes, an operator, workers and requesters.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the nodes. Each node has a loopback address of its own.
const (
	PortFront    = "18227"
	portReady    = "18220"
	PortControl  = "18229"
	portInternal = "18340"
	portOperator = "18341"
)

// Names and bounds of the site.
const (
	Zone              = "recife"
	Host              = "tables.example"
	Tenant            = "hule"
	Key               = "n2ctnfzs989anu6wsjnb"
	HeartbeatInterval = 1200 * time.Millisecond
	GraceSeconds      = 8
	startTimeout      = 20 * time.Second
)

// Site is a site of real processes.
type Site struct {
	Controls []*Node
	Fronts   []*Node
	folder   string
	network  string
	record   *Record
	done     chan struct{}
	tasks    sync.WaitGroup
}

// NewSite starts the processes of a site. The programs are those of the deploy file's
// build in the folder target.
func NewSite(record *Record, controls, fronts int) (*Site, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &Site{folder: folder, record: record, done: make(chan struct{})}
	if err := s.chooseNetwork(); err != nil {
		return nil, err
	}
	for i := range controls {
		n, err := s.newNode(fmt.Sprintf("control-%d", i+1), "controld", "control.toml.tmpl", 1+i, controls)
		if err != nil {
			return nil, err
		}
		s.Controls = append(s.Controls, n)
	}
	for i := range fronts {
		n, err := s.newNode(fmt.Sprintf("front-%d", i+1), "entryd", "entry.toml.tmpl", 20+i, controls)
		if err != nil {
			return nil, err
		}
		s.Fronts = append(s.Fronts, n)
	}
	for _, n := range append(append([]*Node{}, s.Controls...), s.Fronts...) {
		if err := n.Start(); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) chooseNetwork() error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		l, err := net.Listen("tcp", s.IP(1)+":"+PortControl)
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

// IP returns a loopback address of the site.
func (s *Site) IP(last int) string {
	return s.network + fmt.Sprint(last)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a settings template as the platform does.
func render(text string, fields map[string][]string) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(found string) string {
		parts := sectionPattern.FindStringSubmatch(found)
		values := fields[parts[2]]
		if parts[1] == "^" {
			if len(values) == 0 {
				return parts[3]
			}
			return ""
		}
		var out strings.Builder
		for i, v := range values {
			comma := ","
			if i == len(values)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", v, "{{,}}", comma).Replace(parts[3]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(text, func(found string) string {
		return strings.Join(fields[strings.Trim(found, "{}")], ",")
	})
}

func (s *Site) newNode(name, program, template string, last, controls int) (*Node, error) {
	text, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		return nil, err
	}
	data := filepath.Join(s.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return nil, err
	}
	ip := s.IP(last)
	fields := map[string][]string{
		"node": {name}, "ip": {ip}, "zone": {Zone}, "region": {"nordeste"}, "dataDir": {data}, "bootstrap": {"true"},
		"internalPorts.0": {portInternal}, "internalPorts.1": {portOperator},
		"listen.front": {ip + ":" + PortFront}, "listen.ready": {ip + ":" + portReady}, "listen.control": {ip + ":" + PortControl},
		"limits.memoryMb": {"284"}, "heartbeatIntervalMs": {fmt.Sprint(HeartbeatInterval.Milliseconds())},
		"bounds.ceilingWindowS": {"5"}, "bounds.retryBudgetRatio": {"0.2"}, "bounds.budgetSlack": {"136"}, "bounds.budgetWindowS": {"10"},
		"bounds.graceS": {fmt.Sprint(GraceSeconds)},
	}
	for i := range min(controls, 3) {
		fields["seeds"] = append(fields["seeds"], s.IP(1+i)+":"+PortControl)
	}
	settings := filepath.Join(s.folder, name+".conf")
	if err := os.WriteFile(settings, []byte(render(string(text), fields)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Node{Name: name, IP: ip, program: filepath.Join("target", program), settings: settings, log: log}, nil
}

// Go runs a task until the site stops.
func (s *Site) Go(task func()) {
	s.tasks.Go(task)
}

// Pause waits, and reports whether the site has stopped meanwhile.
func (s *Site) Pause(d time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(d):
		return false
	}
}

// Stop ends all tasks and processes. The folder stays if KEEP is set.
func (s *Site) Stop() {
	close(s.done)
	s.tasks.Wait()
	for _, n := range append(append([]*Node{}, s.Controls...), s.Fronts...) {
		n.Kill()
		_ = n.log.Close() // the process has exited
	}
	if os.Getenv("KEEP") != "" {
		s.record.Printf("folder %s", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder) // a temporary folder
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call posts a document to the control nodes in turn, until one of them answers with 2xx
// or one with a final refusal.
func (s *Site) Call(path string, document any, rounds int) error {
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	last := errors.New("no control node")
	for range rounds {
		for _, n := range s.Controls {
			resp, err := control.Post("http://"+n.IP+":"+PortControl+path, "application/json", bytes.NewReader(text))
			if err != nil {
				last = err
				continue
			}
			reason, _ := io.ReadAll(resp.Body) // for the error only
			_ = resp.Body.Close()              // read to its end
			if resp.StatusCode/100 == 2 {
				return nil
			}
			last = fmt.Errorf("%s: %s %s", path, resp.Status, bytes.TrimSpace(reason))
		}
		if s.Pause(50 * time.Millisecond) {
			return last
		}
	}
	return last
}

// Put sends a config until it is acknowledged.
func (s *Site) Put(config map[string]any) error {
	return s.Call("/api/config/put", config, 200)
}

// Config returns a config with routes and services.
func Config(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Route returns a route of a config.
func Route(name, kind, service string, timeout time.Duration, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"sloMs": 300, "gapTargetMs": 300, "priority": 1, "service": service, "maxAttempts": 2,
		"public": false, "sticky": false, "resumable": resumable,
	}
}

// Plain returns a service without engines.
func Plain(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false}
}

// Ready reports whether a front node says that it is ready.
func (s *Site) Ready(n *Node) bool {
	resp, err := control.Get("http://" + n.IP + ":" + portReady + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status suffices
	return resp.StatusCode == http.StatusOK
}

// Await waits until a condition holds, at most for startTimeout.
func (s *Site) Await(what string, holds func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if holds() {
			return nil
		}
		if s.Pause(100 * time.Millisecond) {
			break
		}
	}
	return errors.New(what + " did not happen in time")
}

// Node is a process of the site. It may be started again after it has exited.
type Node struct {
	Name     string
	IP       string
	program  string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(n.program, "run")
	c.Env = append(os.Environ(), "SARDINESWITCH_SETTINGS="+n.settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = c, exited
	go func() {
		_ = c.Wait() // any exit code ends the process
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s) // fails only if it has exited
	}
}

// AwaitExit waits until the process has exited.
func (n *Node) AwaitExit() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	n.AwaitExit()
}

// PID returns the id of the process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// Log returns what the processes of the node have written.
func (n *Node) Log() string {
	text, _ := os.ReadFile(n.log.Name()) // empty if it can't be read
	return string(text)
}
