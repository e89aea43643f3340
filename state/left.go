package state

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// leftRetention is how long it is remembered that a target has left: a bound of
// how late a word about it may come, from a control node that stood still.
const leftRetention = WallTime(3600 * sardine.Second)

// maxLeft bounds how many VMs are remembered, beyond which the oldest are
// forgotten: about ten times the targets of the two-year target.
const maxLeft = 8192

// leftTargets remembers which incarnation of a VM has left, so that a late word
// does not bring it back into the routes.
type leftTargets struct {
	incarnations map[sardine.VMID]sardine.Incarnation
	since        *aging[sardine.VMID]
}

func newLeftTargets() leftTargets {
	return leftTargets{
		incarnations: make(map[sardine.VMID]sardine.Incarnation),
		since:        newAging[sardine.VMID](),
	}
}

// note remembers an incarnation, unless a later one has left.
func (l *leftTargets) note(vm sardine.VMID, i sardine.Incarnation, at WallTime) {
	if i < l.incarnations[vm] {
		return
	}
	l.incarnations[vm] = i
	l.since.put(vm, at)
	if l.since.len() > maxLeft {
		if oldest, found := l.since.takeUntil(at); found {
			delete(l.incarnations, oldest)
		}
	}
}

// has reports whether an incarnation, or a later one, has left.
func (l *leftTargets) has(vm sardine.VMID, i sardine.Incarnation) bool {
	left, known := l.incarnations[vm]
	return known && i <= left
}

func (l *leftTargets) expire(limit WallTime) {
	for {
		vm, expired := l.since.takeUntil(limit)
		if !expired {
			return
		}
		delete(l.incarnations, vm)
	}
}

func (l *leftTargets) toWire() []*wire.LeftTarget {
	var all []*wire.LeftTarget
	for _, t := range l.since.sorted() {
		all = append(all, &wire.LeftTarget{Vm: string(t.key), Incarnation: uint64(l.incarnations[t.key]), At: int64(t.at)})
	}
	return all
}

func (l *leftTargets) restore(all []*wire.LeftTarget) {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *wire.LeftTarget) int { return cmp.Compare(a.GetAt(), b.GetAt()) })
	for _, t := range sorted {
		l.note(sardine.VMID(t.GetVm()), sardine.Incarnation(t.GetIncarnation()), WallTime(t.GetAt()))
	}
}
