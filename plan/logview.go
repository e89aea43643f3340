package plan

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// logView is a cached view of the log's engines and groups. It is read again
// only if these changed, as reading it costs more than the rest of a round
// without changes.
type logView struct {
	index  uint64
	read   bool
	vms    map[sardine.VMID]*vmView
	sorted []sardine.VMID // of vms
	groups []sardine.Group
	// trafficOpen is true once callers' requests have begun.
	trafficOpen bool
}

// refresh reads the state machine if its targets or groups changed.
func (l *logView) refresh(now sardine.Millis, m *state.Machine, p *Planner) {
	if l.read && l.index == m.FleetIndex() {
		l.trafficOpen = m.TrafficOpen()
		return
	}
	*l = logView{
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
		v.registered = true
	}
	slices.Sort(l.sorted)
	for vm, n := range p.vms {
		if l.vms[vm] == nil && n.removable(now, p.limits) {
			delete(p.vms, vm)
		}
	}
}

// view returns the view of a VM and creates it if needed.
func (l *logView) view(vm sardine.VMID, p *Planner) *vmView {
	v := l.vms[vm]
	if v == nil {
		v = &vmView{record: p.vm(vm)}
		l.vms[vm] = v
		l.sorted = append(l.sorted, vm)
	}
	return v
}
