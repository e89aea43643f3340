package state

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

const (
	// departureRetention is how long a departure is recorded. It bounds how late a
	// report on the target may arrive, for example from a control node that was paused.
	departureRetention = WallTime(3600 * sardine.Second)
	// unknownDepartureTime is how long after the departure of a target of which nothing
	// was known the first report on its VM is taken for a late one on that target.
	unknownDepartureTime = WallTime(30 * sardine.Second)
	// maxDeparted bounds the number of recorded VMs; beyond it, the oldest are evicted.
	// It is about ten times the number of targets planned for the next two years.
	maxDeparted = 8192
)

// pastTargets records an incarnation of each VM that is not in the routes any more:
// those that have departed, so that a late report does not add them again, and those
// that were dropped, so that a departure that names no incarnation finds it.
type pastTargets struct {
	incarnations map[sardine.VMID]sardine.Incarnation
	recordedAt   *expirySet[sardine.VMID]
}

func newPastTargets() pastTargets {
	return pastTargets{
		incarnations: make(map[sardine.VMID]sardine.Incarnation),
		recordedAt:   newExpirySet[sardine.VMID](),
	}
}

// record adds an incarnation, unless a later one is recorded.
func (l *pastTargets) record(vm sardine.VMID, i sardine.Incarnation, at WallTime) {
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

// has reports whether an incarnation or a later one of the VM is recorded.
func (l *pastTargets) has(vm sardine.VMID, i sardine.Incarnation) bool {
	left, known := l.incarnations[vm]
	return known && i <= left
}

// resolve takes the incarnation for the one that has departed, if the departure was
// recorded shortly before without any.
func (l *pastTargets) resolve(vm sardine.VMID, i sardine.Incarnation, at WallTime) {
	if left, known := l.incarnations[vm]; known && left == 0 && at <= l.recordedAt.timestamps[vm]+unknownDepartureTime {
		l.record(vm, i, at)
	}
}

func (l *pastTargets) expire(limit WallTime) {
	for {
		vm, expired := l.recordedAt.popExpired(limit)
		if !expired {
			return
		}
		delete(l.incarnations, vm)
	}
}

func (l *pastTargets) toWire() []*wire.LeftTarget {
	var all []*wire.LeftTarget
	for _, t := range l.recordedAt.sorted() {
		all = append(all, &wire.LeftTarget{Vm: string(t.key), Incarnation: uint64(l.incarnations[t.key]), At: int64(t.at)})
	}
	return all
}

func (l *pastTargets) restore(all []*wire.LeftTarget) {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *wire.LeftTarget) int { return cmp.Compare(a.GetAt(), b.GetAt()) })
	for _, t := range sorted {
		l.record(sardine.VMID(t.GetVm()), sardine.Incarnation(t.GetIncarnation()), WallTime(t.GetAt()))
	}
}
