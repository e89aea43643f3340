package fleet

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// loadStep is the relative change of a rate above which it is reported.
const loadStep = 0.2

// sameFacts reports whether two announcements differ at most in their load and
// serial.
func sameFacts(a, b sardine.Announcement) bool {
	return a.Incarnation == b.Incarnation &&
		a.Kind == b.Kind &&
		a.Address == b.Address &&
		a.DataCentre == b.DataCentre &&
		a.Domain == b.Domain &&
		a.Accelerators == b.Accelerators &&
		a.Service == b.Service &&
		a.ChecksEpoch == b.ChecksEpoch &&
		a.Leaving == b.Leaving &&
		a.CurrentOrder == b.CurrentOrder &&
		slices.Equal(a.Loadable, b.Loadable) &&
		slices.Equal(a.Staged, b.Staged)
}

// sameLoad reports whether two loads are too similar to report the change: no
// rate changed by more than loadStep, and the target did not become idle or
// busy.
func sameLoad(a, b sardine.Load) bool {
	idleBefore := a.Running+a.Queued == 0
	idleAfter := b.Running+b.Queued == 0
	return idleBefore == idleAfter &&
		near(a.TokensPerSecond, b.TokensPerSecond) &&
		near(a.StepMillis, b.StepMillis)
}

func near(a, b float64) bool {
	return math.Abs(a-b) <= loadStep*max(math.Abs(a), math.Abs(b))
}
