package main

import (
	"bytes"
	"context"
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

// Sizes of the site: three control nodes, two entry nodes.
const (
	controls = 3
	entries  = 2
)

// Figures of the small deployment dobrafina-nordeste.
const (
	beatInterval = 1200 * time.Millisecond
	configApply  = 2 * time.Second
	callerHost   = "h.example"
	callerKey    = "n2ctnfzs989anu6wsjnb"
)

// rig is a site of real processes.
type rig struct {
	trouble bool
	folder  string // of settings, data and logs
	began   time.Time

	mu      sync.Mutex
	record  io.Writer
	nodes   []*node
	workers []*worker

	net   int // second and third number of the nodes' loopback addresses
	ports map[string]int
}

// node is one process of the site.
type node struct {
	name     string
	program  string
	ip       string
	settings string
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

func newRig(record io.Writer, trouble bool) *rig {
	return &rig{trouble: trouble, began: time.Now(), record: record, ports: map[string]int{}}
}

// log writes a line to the record.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
}

// ip returns a loopback address; those of one run share their first three numbers.
func (r *rig) ip(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+r.net/256, r.net%256, last)
}

// start starts the nodes.
func (r *rig) start() error {
	var err error
	if r.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if err := r.choosePorts(); err != nil {
		return err
	}
	for i := range controls {
		if err := r.add(fmt.Sprintf("control-%d", i+1), "controld", "control.toml.tmpl", r.ip(11+i)); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := r.add(fmt.Sprintf("front-%d", i+1), "entryd", "entry.toml.tmpl", r.ip(21+i)); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// choosePorts finds ports that are free at all addresses of the site.
func (r *rig) choosePorts() error {
	for range 50 {
		r.net = rand.IntN(250 * 256)
		for i, name := range []string{"front", "ready", "control", "internal", "operators", "metrics"} {
			r.ports[name] = 20000 + rand.IntN(2000)*6 + i
		}
		if r.free() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (r *rig) free() bool {
	for _, last := range []int{11, 12, 13, 21, 22} {
		for _, port := range r.ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(last), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// add writes the settings of a process from the project's template.
func (r *rig) add(name, program, template, ip string) error {
	text, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		return err
	}
	data := filepath.Join(r.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	n := &node{name: name, program: filepath.Join("target", program), ip: ip, settings: filepath.Join(r.folder, name+".toml")}
	if err := os.WriteFile(n.settings, []byte(r.render(string(text), n, data)), 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(r.folder, name+".log")); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	return nil
}

// Placeholders of the templates, as the platform's pages describe them.
var (
	section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	field   = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)\}\}`)
)

// render fills a template in.
func (r *rig) render(text string, n *node, data string) string {
	at := func(name string) string { return fmt.Sprintf("%s:%d", n.ip, r.ports[name]) }
	values := map[string]string{
		"node": n.name, "ip": n.ip, "zone": "recife", "region": "nordeste", "dataDir": data, "bootstrap": "true",
		"internalPorts.0": fmt.Sprint(r.ports["internal"]), "internalPorts.1": fmt.Sprint(r.ports["operators"]),
		"listen.control": at("control"), "listen.front": at("front"), "listen.ready": at("ready"),
		"limits.memoryMb": "284", "heartbeatIntervalMs": fmt.Sprint(beatInterval.Milliseconds()),
		"bounds.ceilingWindowS": "5", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "130", "bounds.budgetWindowS": "10",
	}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", r.ip(11+i), r.ports["control"])))
	}
	text = section.ReplaceAllStringFunc(text, func(whole string) string {
		parts := section.FindStringSubmatch(whole)
		if parts[1] == "seeds" {
			return strings.Join(seeds, ", ")
		}
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	text = field.ReplaceAllStringFunc(text, func(whole string) string { return values[strings.Trim(whole, "{}")] })
	return strings.ReplaceAll(text, ":9464\"", fmt.Sprintf(":%d\"", r.ports["metrics"]))
}

// start starts the process as the deploy file does.
func (n *node) start() error {
	c := exec.Command(n.program, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SARDINESWITCH_SETTINGS=" + n.settings}
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = c, exited
	go func() {
		_ = c.Wait() // the end is what counts
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.command != nil {
		_ = n.command.Process.Signal(s) // fails only if it has exited
	}
}

// stop ends all processes and stand-ins.
func (r *rig) stop() {
	for _, w := range r.workers {
		w.stop()
	}
	for _, n := range r.nodes {
		n.signal(syscall.SIGKILL)
		if n.exited != nil {
			<-n.exited
		}
		_ = n.log.Close()
	}
	if os.Getenv("KEEP") != "" {
		r.log("logs are kept in %s", r.folder)
		return
	}
	if r.folder != "" {
		_ = os.RemoveAll(r.folder)
	}
}

// controlAddresses returns the addresses for operators and workers.
func (r *rig) controlAddresses() []string {
	var all []string
	for i := range controls {
		all = append(all, fmt.Sprintf("%s:%d", r.ip(11+i), r.ports["control"]))
	}
	return all
}

// front returns the address of an entry node for callers.
func (r *rig) front(i int) string {
	return fmt.Sprintf("%s:%d", r.ip(21+i%entries), r.ports["front"])
}

// post sends a call to the control nodes, one after the other, until one acknowledges it.
func (r *rig) post(ctx context.Context, path, body string) error {
	return r.postTo(ctx, r.controlAddresses(), path, body)
}

// postTo is post with the addresses of the control nodes.
func (r *rig) postTo(ctx context.Context, addresses []string, path, body string) error {
	last := fmt.Errorf("no control node")
	for range 20 {
		for _, a := range addresses {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if last = postOnce(ctx, "http://"+a+path, body); last == nil {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

func postOnce(ctx context.Context, url, body string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Close = true
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body) // for the error only
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s: %s", url, resp.Status, bytes.TrimSpace(text))
	}
	return nil
}

// putConfig stores a config and records its acknowledgement.
func (r *rig) putConfig(version int, routes, services string) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1}]}`,
		version, routes, services, callerKey)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := r.post(ctx, "/api/config/put", body); err != nil {
		return fmt.Errorf("config %d: %w", version, err)
	}
	r.log("config %d is acknowledged", version)
	return nil
}

// awaitReady waits until each entry node is ready and serves a request.
func (r *rig) awaitReady(path string) error {
	for i := range entries {
		ready := fmt.Sprintf("http://%s:%d/api/readiness", r.ip(21+i), r.ports["ready"])
		err := until(25*time.Second, func() bool {
			resp, err := http.Get(ready)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
			c := newCaller(r, r.front(i))
			defer c.close()
			a := c.call(request{method: http.MethodPost, path: path, wait: 2 * time.Second})
			return a.complete && a.status == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("front-%d does not serve: %w", i+1, err)
		}
	}
	r.log("all entry nodes serve")
	return nil
}

// until waits until a condition holds.
func until(most time.Duration, condition func() bool) error {
	for end := time.Now().Add(most); !condition(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v", most)
		}
	}
	return nil
}
