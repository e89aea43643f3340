package plan

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// logged is the log's view of engines and groups. It is read again only when it
// changed, as that costs more than the rest of a quiet round.
type logged struct {
	index  uint64
	read   bool
	vms    map[sardine.VMID]*vmView
	sorted []sardine.VMID // of vms
	groups []sardine.Group
	// trafficOpen tells that callers' requests have begun.
	trafficOpen bool
}

// renew reads the machine if its targets or groups changed.
func (l *logged) renew(now sardine.Millis, m *state.Machine, p *Planner) {
	if l.read && l.index == m.FleetIndex() {
		l.trafficOpen = m.TrafficOpen()
		return
	}
	*l = logged{
		index:  m.FleetIndex(),
		read:   true,
		vms:    make(map[sardine.VMID]*vmView),
		groups: m.Groups(),

		trafficOpen: m.TrafficOpen(),
	}
	for _, o := range m.Owners() {
		v := l.view(o.VM, p)
		v.owner = o
		v.owned = true
	}
	for _, t := range m.Targets() {
		if t.Kind != sardine.KindEngine {
			continue
		}
		v := l.view(t.VM, p)
		v.target = t
		v.known = true
	}
	slices.Sort(l.sorted)
	for vm, n := range p.vms {
		if l.vms[vm] == nil && n.forgettable(now, p.limits) {
			delete(p.vms, vm)
		}
	}
}

// view returns the view of a VM, a new one if there is none.
func (l *logged) view(vm sardine.VMID, p *Planner) *vmView {
	v := l.vms[vm]
	if v == nil {
		v = &vmView{note: p.vm(vm)}
		l.vms[vm] = v
		l.sorted = append(l.sorted, vm)
	}
	return v
}
