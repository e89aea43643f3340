// Package site runs a small site in one process: real control and entry
// nodes on loopback, with stand-ins for the balancer, the weight store, the
// engines and the plain services around them.
package site

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/ports"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/standin/balnce"
	"sardineswitch.dev/sardine/standin/cut"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/standin/weight"
)

const (
	loopback        = "127.0.0.1:0"
	dataCentreCount = 3 // number of data centres
)

// Site is a running site.
type Site struct {
	settings  settings
	controls  []*Control
	entries   []*Entry
	balancer  *balnce.Balancer
	weights   *weight.Store
	fabric    *engine.Fabric
	engines   []*engine.Engine
	plains    []*plain.Service
	client    *ctlapi.Client
	network   *cut.Network
	ports     *ports.Block
	addresses []string // of the control nodes' internal servers
	keys      *Keys    // nil for plain HTTP
}

// Control is one control node with the disk and address that it keeps over
// restarts.
type Control struct {
	id      sardine.NodeID
	disk    *disk.Memory
	address string
	node    *ctrl.Node // nil while it is stopped
}

// Node returns the running node, or nil while it is stopped.
func (c *Control) Node() *ctrl.Node {
	return c.node
}

// Entry is one entry node with the ID and incarnation that it needs to restart.
type Entry struct {
	id          sardine.NodeID
	incarnation sardine.Incarnation
	node        *entry.Node // nil while it is stopped
}

// Node returns the running node, or nil while it is stopped.
func (e *Entry) Node() *entry.Node {
	return e.node
}

// Start creates and starts a site. If it fails, it stops what it has started.
func Start(options ...Option) (*Site, error) {
	s := &Site{network: cut.New(), settings: settings{
		seed:          1,
		controls:      3,
		entries:       3,
		domains:       2,
		vms:           5,
		plains:        2,
		loadTime:      200,
		tokenTime:     2,
		epochChecks:   true,
		logger:        logs.Discard(),
		entryTiming:   entry.DefaultTiming(),
		controlTiming: ctrl.DefaultTiming(),
	}}
	s.settings.entryTiming.BalancerDelay = 500
	for _, o := range options {
		o(&s.settings)
	}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	if err := s.makeKeys(); err != nil {
		return err
	}
	if err := s.startControls(); err != nil {
		return err
	}
	if err := s.openClient(); err != nil {
		return err
	}
	for i := range s.settings.entries {
		e := &Entry{id: sardine.NodeID(fmt.Sprintf("entry-%d", i+1))}
		s.entries = append(s.entries, e)
		if err := s.StartEntry(i); err != nil {
			return err
		}
	}
	if err := s.startBalancer(); err != nil {
		return err
	}
	return s.startTargets()
}

// startControls starts the control nodes. It allocates all addresses first,
// because each member is configured with the addresses of the others.
func (s *Site) startControls() error {
	var err error
	if s.ports, err = ports.Reserve(); err != nil {
		return err
	}
	if s.addresses, err = s.ports.Addresses(s.settings.controls); err != nil {
		return err
	}
	for i, address := range s.addresses {
		id := sardine.NodeID(fmt.Sprintf("control-%d", i+1))
		s.network.SetNodeAddress(address, string(id))
		s.controls = append(s.controls, &Control{
			id:      id,
			disk:    disk.NewMemory(s.random(uint64(100 + i))),
			address: address,
		})
	}
	for i := range s.controls {
		if err := s.StartControl(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.settings.seed, stream))
}

func dataCentre(i int) sardine.DataCentre {
	return [dataCentreCount]sardine.DataCentre{"osu", "tema", "legon"}[i%dataCentreCount]
}

// StartControl starts or restarts control node i on its own disk and address.
func (s *Site) StartControl(i int) error {
	c := s.controls[i]
	var members []quorum.Member
	for _, other := range s.controls {
		members = append(members, quorum.Member{Node: other.id, Address: other.address})
	}
	set, err := s.keys.openSet(c.id)
	if err != nil {
		return err
	}
	node, err := ctrl.New(
		ctrl.WithID(c.id, "accra", dataCentre(i)),
		ctrl.WithListen(c.address, loopback),
		ctrl.WithMembers(members...),
		ctrl.WithDisk(c.disk),
		ctrl.WithRandom(s.random(uint64(200+i))),
		ctrl.WithLogger(s.settings.logger.With(slog.String("node", string(c.id)))),
		ctrl.WithTiming(s.settings.controlTiming),
		ctrl.WithKeys(set),
		ctrl.WithOperatorHash(s.keys.hash()),
		ctrl.WithDial(s.network.Dial(string(c.id))),
	)
	if err != nil {
		return err
	}
	c.node = node
	node.Start()
	return nil
}

// StopControl stops control node i without a leadership transfer. Data that it
// has not synced to its disk is lost.
func (s *Site) StopControl(i int) error {
	c := s.controls[i]
	if c.node == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no leadership transfer: as if the VM had failed
	err := c.node.Stop(ctx)
	c.node = nil
	c.disk.Crash()
	return err
}

// StartEntry starts or restarts entry node i with a new incarnation.
func (s *Site) StartEntry(i int) error {
	e := s.entries[i]
	e.incarnation++
	set, err := s.keys.openSet(e.id)
	if err != nil {
		return err
	}
	node, err := entry.New(
		entry.WithID(e.id, e.incarnation, dataCentre(i)),
		entry.WithListen(loopback, loopback),
		entry.WithControls(s.addresses...),
		entry.WithRandom(s.random(uint64(300+i)+1000*uint64(e.incarnation))),
		entry.WithLogger(s.settings.logger.With(slog.String("node", string(e.id)))),
		entry.WithTiming(s.settings.entryTiming),
		entry.WithKeys(set),
		entry.WithOperatorHash(s.keys.hash()),
		entry.WithDial(s.network.Dial(string(e.id))),
	)
	if err != nil {
		return err
	}
	e.node = node
	s.network.SetNodeAddress(node.InternalAddress(), string(e.id))
	node.Start()
	s.updateBackends()
	return nil
}

// StopEntry stops entry node i immediately, without draining, as a crash would.
func (s *Site) StopEntry(i int) error {
	e := s.entries[i]
	if e.node == nil {
		return nil
	}
	err := e.node.Stop()
	e.node = nil
	s.updateBackends()
	return err
}

func (s *Site) startBalancer() error {
	s.balancer = balnce.New()
	s.updateBackends()
	return s.balancer.Start()
}

func (s *Site) updateBackends() {
	if s.balancer == nil {
		return
	}
	var backends []balnce.Backend
	for _, e := range s.entries {
		if e.node != nil {
			backends = append(backends, balnce.NewBackend(e.node.PublicAddress(), e.node.PublicAddress()))
		}
	}
	s.balancer.SetBackends(backends...)
}

func (s *Site) startTargets() error {
	const size = 1 << 20 // bytes of weights that one member loads
	rate := int(size * int64(sardine.Second) / int64(s.settings.loadTime))
	s.weights = weight.New(weight.WithSize(size), weight.WithRate(rate))
	s.fabric = engine.NewFabric()
	for d := range s.settings.domains {
		for v := range s.settings.vms {
			if err := s.startEngine(d, v); err != nil {
				return err
			}
		}
	}
	for i := range s.settings.plains {
		p := plain.New(
			plain.WithVM(sardine.VMID(fmt.Sprintf("app-%d", i+1))),
			plain.WithService(Service),
			plain.WithDataCentre(dataCentre(i)),
			plain.WithBalancer(s.balancer.Address()),
		)
		s.plains = append(s.plains, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEngine(domain, vm int) error {
	options := []engine.Option{
		engine.WithVM(sardine.VMID(fmt.Sprintf("vm-%d-%d", domain+1, vm+1))),
		engine.WithLocation(dataCentre(domain), sardine.FabricDomain(fmt.Sprintf("fabric-%d", domain+1))),
		engine.WithBalancer(s.balancer.Address()),
		engine.WithFabric(s.fabric),
		engine.WithLoader(s.weights),
		engine.WithLoadable(Model),
		engine.WithEpochChecks(s.settings.epochChecks),
		engine.WithSpeed(10, s.settings.tokenTime),
	}
	e := engine.New(append(options, s.settings.engineOptions...)...)
	s.engines = append(s.engines, e)
	return e.Start()
}

// Controls returns the control nodes.
func (s *Site) Controls() []*Control {
	return s.controls
}

// Entries returns the entry nodes.
func (s *Site) Entries() []*Entry {
	return s.entries
}

// Engines returns the engine VMs.
func (s *Site) Engines() []*engine.Engine {
	return s.engines
}

// PlainServices returns the plain service VMs.
func (s *Site) PlainServices() []*plain.Service {
	return s.plains
}

// Client returns the site's client of the control nodes.
func (s *Site) Client() *ctlapi.Client {
	return s.client
}

// Network returns the simulated network between the nodes and from the site's
// client. It has no effect on a site with keys, whose connections bypass it.
func (s *Site) Network() *cut.Network {
	return s.network
}

// Balancer returns the address of the load balancer, which callers use.
func (s *Site) Balancer() string {
	return s.balancer.Address()
}

// ControlAddresses returns the addresses of the control nodes.
func (s *Site) ControlAddresses() []string {
	return s.addresses
}

// Stop stops all nodes and stand-ins.
func (s *Site) Stop() {
	s.network.Heal()
	for _, e := range s.engines {
		e.Stop()
	}
	for _, p := range s.plains {
		p.Stop()
	}
	if s.balancer != nil {
		s.balancer.Stop()
	}
	for _, e := range s.entries {
		if e.node != nil {
			_ = e.node.Stop() // nobody needs the error any more
		}
	}
	for _, c := range s.controls {
		if c.node != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = c.node.Stop(ctx) // nobody needs the error any more
			cancel()
		}
	}
	if s.client != nil {
		s.client.Close()
	}
	if s.ports != nil {
		s.ports.Release()
	}
	s.network.Close()
}
