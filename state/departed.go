package state

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// departureRetention is how long a departure is recorded. It bounds how late a
// report on the target may arrive, for example from a control node that was paused.
const departureRetention = WallTime(3600 * sardine.Second)

// maxDeparted bounds the number of recorded VMs; beyond it, the oldest are evicted.
// It is about ten times the number of targets planned for the next two years.
const maxDeparted = 8192

// departedTargets records which incarnation of each VM has departed, so that a late
// report does not add it to the routes again.
type departedTargets struct {
	incarnations map[sardine.VMID]sardine.Incarnation
	recordedAt   *expirySet[sardine.VMID]
}

func newDepartedTargets() departedTargets {
	return departedTargets{
		incarnations: make(map[sardine.VMID]sardine.Incarnation),
		recordedAt:   newExpirySet[sardine.VMID](),
	}
}

// record adds a departed incarnation, unless a later one has departed.
func (l *departedTargets) record(vm sardine.VMID, i sardine.Incarnation, at WallTime) {
	if i < l.incarnations[vm] {
		return
	}
	l.incarnations[vm] = i
	l.recordedAt.put(vm, at)
	if l.recordedAt.len() > maxDeparted {
		if oldest, found := l.recordedAt.popExpired(at); found {
			delete(l.incarnations, oldest)
		}
	}
}

// has reports whether an incarnation or a later one of the VM has departed.
func (l *departedTargets) has(vm sardine.VMID, i sardine.Incarnation) bool {
	left, known := l.incarnations[vm]
	return known && i <= left
}

func (l *departedTargets) expire(limit WallTime) {
	for {
		vm, expired := l.recordedAt.popExpired(limit)
		if !expired {
			return
		}
		delete(l.incarnations, vm)
	}
}

func (l *departedTargets) toWire() []*wire.LeftTarget {
	var all []*wire.LeftTarget
	for _, t := range l.recordedAt.sorted() {
		all = append(all, &wire.LeftTarget{Vm: string(t.key), Incarnation: uint64(l.incarnations[t.key]), At: int64(t.at)})
	}
	return all
}

func (l *departedTargets) restore(all []*wire.LeftTarget) {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *wire.LeftTarget) int { return cmp.Compare(a.GetAt(), b.GetAt()) })
	for _, t := range sorted {
		l.record(sardine.VMID(t.GetVm()), sardine.Incarnation(t.GetIncarnation()), WallTime(t.GetAt()))
	}
}
