package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/ports"
	"sardineswitch.dev/sardine/standin/balnce"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/standin/site"
	"sardineswitch.dev/sardine/standin/weight"
	"sardineswitch.dev/sardine/wire"
)

// Sizes of the site: the smallest that tolerates the loss of one of each.
const (
	controls  = 3
	entries   = 2
	domains   = 2
	vms       = 4
	groups    = 2
	groupSize = 3
	plains    = 2
)

// node is one process with the proxies in front of it.
type node struct {
	process  *process
	internal *proxy // for the other processes
	public   *proxy // for callers; nil for a control node
	folder   string // data folder; empty for an entry node
}

// processSite is a site whose nodes are separate processes.
type processSite struct {
	folder    string
	siteName  string
	ports     *ports.Block
	controls  []*node
	entries   []*node
	operators []string
	client    *ctlapi.Client
	balancer  *balnce.Balancer
	engines   []*engine.Engine
	plains    []*plain.Service
	weights   *weight.Store
}

// newProcessSite starts the processes and the stand-ins around them. onFailure
// is called when a process exits unexpectedly.
func newProcessSite(folder, programs string, onFailure func(string, error)) (*processSite, error) {
	block, err := ports.Reserve()
	if err != nil {
		return nil, err
	}
	p := &processSite{folder: folder, siteName: fmt.Sprintf("soak-%d", block.Base()), ports: block}
	if err := p.startNodes(programs, onFailure); err != nil {
		p.stop()
		return nil, err
	}
	if err := p.startTargets(); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *processSite) startNodes(programs string, onFailure func(string, error)) error {
	advertised, err := p.ports.Addresses(controls) // at which the other nodes call the control nodes
	if err != nil {
		return err
	}
	var peers []string
	for i, a := range advertised {
		peers = append(peers, fmt.Sprintf("{ node = \"control-%d\", address = %q }", i+1, a))
	}
	for i := range controls {
		if err := p.addControl(i, advertised[i], peers, filepath.Join(programs, "controld"), onFailure); err != nil {
			return err
		}
	}
	p.client = ctlapi.New(p.operators, ctlapi.WithKnownOnly())
	p.balancer = balnce.New()
	if err := p.balancer.Start(); err != nil {
		return err
	}
	var backends []balnce.Backend
	for i := range entries {
		address, err := p.addEntry(i, peers, filepath.Join(programs, "severd"), onFailure)
		if err != nil {
			return err
		}
		backends = append(backends, balnce.NewBackend(address, address))
	}
	p.balancer.SetBackends(backends...)
	return nil
}

// addControl starts a control node, with its data folder and a proxy at the
// address that the other nodes call.
func (p *processSite) addControl(i int, advertised string, peers []string, program string, onFailure func(string, error)) error {
	own, err := p.ports.Addresses(2)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("control-%d", i+1)
	data := filepath.Join(p.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	settings := fmt.Sprintf("node = %q\nsite = %q\ndata_centre = \"osu\"\ndata_folder = %q\nlisten_internal = %q\nadvertise_internal = %q\nlisten_operators = %q\nmembers = [%s]\n",
		name, p.siteName, data, own[0], advertised, own[1], strings.Join(peers, ", "))
	n := &node{folder: data}
	if n.internal, err = newProxy(advertised, own[0]); err != nil {
		return err
	}
	p.controls = append(p.controls, n)
	p.operators = append(p.operators, own[1])
	return p.run(n, name, program, settings, onFailure)
}

// addEntry starts an entry node behind its proxies and returns the address for
// callers.
func (p *processSite) addEntry(i int, peers []string, program string, onFailure func(string, error)) (public string, err error) {
	a, err := p.ports.Addresses(5)
	if err != nil {
		return "", err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings := fmt.Sprintf("node = %q\nsite = %q\ndata_centre = \"osu\"\nlisten = %q\nlisten_targets = %q\nlisten_internal = %q\nadvertise_internal = %q\ncontrols = [%s]\n[timings]\nunready_ms = 300\n",
		name, p.siteName, a[0], a[1], a[2], a[3], strings.Join(peers, ", "))
	n := &node{}
	p.entries = append(p.entries, n)
	if n.internal, err = newProxy(a[3], a[2]); err != nil {
		return "", err
	}
	if n.public, err = newProxy(a[4], a[0]); err != nil {
		return "", err
	}
	return a[4], p.run(n, name, program, settings, onFailure)
}

func (p *processSite) run(n *node, name, program, settings string, onFailure func(string, error)) error {
	var err error
	if n.process, err = newProcess(p.folder, name, program, []byte(settings), onFailure); err != nil {
		return err
	}
	return n.process.start()
}

func (p *processSite) startTargets() error {
	p.weights = weight.New(weight.WithSize(1<<20), weight.WithRate(4<<20))
	fabric := engine.NewFabric()
	for d := range domains {
		for v := range vms {
			e := engine.New(
				engine.WithVM(sardine.VMID(fmt.Sprintf("vm-%d-%d", d+1, v+1))),
				engine.WithLocation("osu", sardine.FabricDomain(fmt.Sprintf("fabric-%d", d+1))),
				engine.WithBalancer(p.balancer.Address()),
				engine.WithFabric(fabric),
				engine.WithLoader(p.weights),
				engine.WithLoadable(site.Model),
				engine.WithEpochChecks(true),
				engine.WithSpeed(10, 5),
			)
			p.engines = append(p.engines, e)
			if err := e.Start(); err != nil {
				return err
			}
		}
	}
	for i := range plains {
		s := plain.New(
			plain.WithVM(sardine.VMID(fmt.Sprintf("app-%d", i+1))),
			plain.WithService(site.Service),
			plain.WithDataCentre("osu"),
			plain.WithBalancer(p.balancer.Address()),
		)
		p.plains = append(p.plains, s)
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Balancer returns the address of the load balancer, which callers use.
func (p *processSite) Balancer() string {
	return p.balancer.Address()
}

// Runs returns how often the plain services ran the booking of a seat.
func (p *processSite) Runs(seat string) int {
	runs := 0
	for _, s := range p.plains {
		runs += s.Runs(seat)
	}
	return runs
}

// Set stores a settings document at path on top of version base and returns the
// new version.
func (p *processSite) Set(ctx context.Context, base uint64, changeID, path, document string) (uint64, error) {
	answer, err := p.client.Settings(ctx, &wire.SettingsRequest{
		Operation: "set", Path: path, Base: base, ChangeId: changeID, Document: document, Author: "soak",
	})
	return answer.GetVersion(), err
}

// version returns the latest version of the demo team's settings.
func (p *processSite) version(ctx context.Context) (uint64, error) {
	answer, err := p.client.Settings(ctx, &wire.SettingsRequest{Operation: "get", Path: "/teams/" + string(site.Team)})
	return answer.GetVersion(), err
}

// stop stops all processes, proxies and stand-ins.
func (p *processSite) stop() {
	for _, e := range p.engines {
		e.Stop()
	}
	for _, s := range p.plains {
		s.Stop()
	}
	if p.balancer != nil {
		p.balancer.Stop()
	}
	for _, n := range append(append([]*node{}, p.entries...), p.controls...) {
		if n.process != nil {
			n.process.signal(syscall.SIGCONT)
			n.process.terminate(syscall.SIGKILL)
			_ = n.process.log.Close() // the process has exited
		}
		for _, x := range []*proxy{n.internal, n.public} {
			if x != nil {
				x.close()
			}
		}
	}
	if p.client != nil {
		p.client.Close()
	}
	p.ports.Release()
}

// pollInterval is the polling interval of waitUntil.
const pollInterval = 50 * time.Millisecond

// waitUntil polls until a condition holds, at most for the given time, and
// reports whether it does.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
