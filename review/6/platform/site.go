package main

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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	entryNodes   = 2
	seedCount    = 3
	memoryMB     = 284 // limits.memoryMb of the deployment's machines
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 5 * time.Millisecond
	callTimeout  = time.Second
	bootTimeout  = 30 * time.Second
)

// site is a small deployment: the project's programs as processes on loopback
// addresses of their own, started and stopped as the platform does.
type site struct {
	record  *record
	folder  string // of settings, data and logs
	program string // folder of the programs
	prefix  string // of the addresses
	port    int    // lowest of the ports, which are the same on all machines
	version int    // of the config that was sent last

	mu    sync.Mutex
	core  []*node // that serve operators and workers; one that is gone is replaced here
	front []*node // that serve requesters
	addrs int     // used for core machines
}

// node is a machine with one process.
type node struct {
	site    *site
	name    string
	program string
	ip      string
	founded bool // it has been started before

	mu       sync.Mutex
	process  *exec.Cmd
	stopped  bool
	memory   int // highest use seen, in MB
	overruns int // times that the process was killed for its memory
}

// newSite returns a site of which nothing runs yet.
func newSite(r *record, program string, controlNodes int) (*site, error) {
	folder, err := os.MkdirTemp("", "sardine-review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, program: program}
	if err := s.findAddresses(); err != nil {
		return nil, err
	}
	for range controlNodes {
		s.core = append(s.core, s.newControl())
	}
	for i := range entryNodes {
		s.front = append(s.front, &node{site: s, name: fmt.Sprintf("entry-%d", i+1), program: "entryd", ip: s.ip(i + 15)})
	}
	return s, nil
}

// newControl returns a core machine at an address that none has had.
func (s *site) newControl() *node {
	s.addrs++
	return &node{site: s, name: fmt.Sprintf("control-%d", s.addrs), program: "controld", ip: s.ip(s.addrs)}
}

// findAddresses chooses loopback addresses and ports that nobody uses.
func (s *site) findAddresses() error {
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		s.port = 20000 + rand.IntN(10000)
		if s.addressesFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (s *site) addressesFree() bool {
	for i := 1; i < 40; i++ {
		for _, port := range []int{s.port, s.port + 1, s.port + 2, s.port + 3, s.port + 4, metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(s.ip(i), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

const metricsPort = 9464

func (s *site) ip(i int) string {
	return s.prefix + strconv.Itoa(i)
}

// Ports of the machines, counted from the lowest.
const (
	frontPort = iota
	readyPort
	controlPort
	internalPort
	operatorPort
)

func (s *site) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.port+port))
}

// controls returns the nodes that serve operators and workers.
func (s *site) controls() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.core)
}

// anyControl returns one of them.
func (s *site) anyControl() *node {
	all := s.controls()
	return all[rand.IntN(len(all))]
}

// all returns all machines.
func (s *site) all() []*node {
	return slices.Concat(s.controls(), s.front)
}

// entries returns the nodes that serve requesters.
func (s *site) entries() []*node {
	return s.front
}

// start starts all processes.
func (s *site) start() error {
	for _, n := range s.all() {
		if err := n.start(); err != nil {
			return err
		}
	}
	go s.watchMemory()
	return nil
}

// stop ends all processes and removes the folder.
func (s *site) stop() {
	for _, n := range s.all() {
		n.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// end ends the node's process for good.
func (n *node) end() {
	n.mu.Lock()
	n.stopped = true
	process := n.process
	n.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		_, _ = process.Process.Wait()
	}
}

// kill kills the node's process, which is started again.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.stopped {
		_ = n.process.Process.Kill()
	}
}

// settings returns the text of the settings file, as the platform renders it from the
// templates in deploy/.
func (n *node) settings() string {
	s := n.site
	var seeds []string
	for _, c := range s.controls()[:seedCount] {
		seeds = append(seeds, strconv.Quote(s.address(c.ip, controlPort)))
	}
	discovery := fmt.Sprintf("[discovery]\nseeds = [%s]\nport = %d\n", strings.Join(seeds, ","), s.port+internalPort)
	common := fmt.Sprintf("site = \"tas\"\ndata_centre = \"tas-hobart\"\ninterface = \"platform\"\nlisten_metrics = \"%s:%d\"\nlisten_internal = %q\nmemory_mb = %d\n",
		n.ip, metricsPort, s.address(n.ip, internalPort), memoryMB)
	if n.program == "controld" {
		return fmt.Sprintf("node = %q\n%sdata_folder = %q\nlisten_operators = %q\nlisten_control = %q\n%sfound = %v\n[timings]\nannounce_ms = 1200\n[weight_store]\nstart_window_s = 5\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
			n.ip, common, filepath.Join(s.folder, n.name+".data"), s.address(n.ip, operatorPort), s.address(n.ip, controlPort), discovery, !n.founded)
	}
	return fmt.Sprintf("node = %q\n%slisten = %q\nlisten_ready = %q\n%s[timings]\nunready_ms = 2500\nstop_s = 8\n[repeats]\nratio = 0.2\nslack = 136\nwindow_s = 10\n[limits]\nidle_timeout_ms = 60000\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
		n.name, common, s.address(n.ip, frontPort), s.address(n.ip, readyPort), discovery)
}

// start starts the node's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	path := filepath.Join(n.site.folder, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	n.founded = true
	logs, err := os.OpenFile(filepath.Join(n.site.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	c := exec.Command(filepath.Join(n.site.program, n.program), "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", settingsVariable + "=" + path}
	c.Stdout, c.Stderr = logs, logs
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.process = c
	n.site.record.add("%s starts as process %d", n.name, c.Process.Pid)
	go n.await(c)
	return nil
}

// await starts the process again some time after its end.
func (n *node) await(c *exec.Cmd) {
	_ = c.Wait()
	n.mu.Lock()
	stopped := n.stopped
	n.mu.Unlock()
	if stopped {
		return
	}
	n.site.record.say("%s has ended: %s", n.name, c.ProcessState)
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		n.site.record.say("%s can't be started: %v", n.name, err)
	}
}

// watchMemory kills processes that use more memory than their machine has.
func (s *site) watchMemory() {
	for {
		for _, n := range s.all() {
			n.checkMemory()
		}
		time.Sleep(memoryPoll)
	}
}

func (n *node) checkMemory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || n.process == nil || n.process.ProcessState != nil {
		return
	}
	used := residentMB(n.process.Process.Pid)
	n.memory = max(n.memory, used)
	if used <= memoryMB {
		return
	}
	n.overruns++
	n.site.record.say("%s uses %d MB of %d MB and is killed", n.name, used, memoryMB)
	_ = n.process.Process.Kill()
	n.process = nil
}

// memoryUsed returns the most memory that the node's processes have used, in MB.
func (n *node) memoryUsed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.memory
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// put sends a config until a control node acknowledges it.
func (s *site) put(config map[string]any) error {
	s.version += 3
	config["version"] = s.version
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: callTimeout}
	for end := time.Now().Add(bootTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		c := s.anyControl()
		resp, err := client.Post("http://"+s.address(c.ip, controlPort)+pathPut, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.record.add("config %d is acknowledged", s.version)
			return nil
		}
	}
	return errors.New("no control node acknowledges the config")
}

// ready reports whether an entry node answers the balancer's question with 200.
func (s *site) ready(n *node) bool {
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Get("http://" + s.address(n.ip, readyPort) + pathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// smallConfig returns a config with the routes of one plain service.
func smallConfig() map[string]any {
	route := func(name, prefix, kind string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "sloMs": 300, "priority": 2,
			"service": service, "maxAttempts": 2, "public": false,
		}
	}
	return map[string]any{
		"routes":   []any{route("r-read", "/read/", "safe", 4000), route("r-book", "/book/", "unsafe", 4000)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	}
}
