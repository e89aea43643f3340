package entry

import (
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// retryLimit serializes the request handlers' access to the retry limit.
type retryLimit struct {
	incarnation sardine.Incarnation
	startedAt   sardine.Millis

	mu            sync.Mutex
	window        *retry.Window
	hasBudgetSlot bool // the replicated state assigns this incarnation its budget slot
}

func newRetryLimit(i sardine.Incarnation, startedAt sardine.Millis, window *retry.Window) *retryLimit {
	return &retryLimit{incarnation: i, startedAt: startedAt, window: window}
}

func (r *retryLimit) countFirst(now sardine.Millis, s sardine.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.CountRequest(now, s)
}

func (r *retryLimit) take(now sardine.Millis, s sardine.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.TryRetry(now, s)
}

func (r *retryLimit) available(now sardine.Millis, s sardine.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.CanRetry(now, s)
}

func (r *retryLimit) left(now sardine.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Remaining(now)
}

// applyView applies the budget slots in the view. They are ignored until
// callers' requests have begun, since nodes that are about to join may be
// missing before.
func (r *retryLimit) applyView(now sardine.Millis, v *view) {
	r.mu.Lock()
	defer r.mu.Unlock()
	had := r.hasBudgetSlot
	r.hasBudgetSlot = v.trafficOpen && v.budgetSlot.Incarnation == r.incarnation && !v.budgetSlot.Vacant
	if !r.hasBudgetSlot {
		r.window.Share().Resize(0)
		return
	}
	r.window.Share().Resize(v.budgetSlots)
	if had {
		return
	}
	r.window.Share().AssignSlot(now, r.startedAt, v.budgetSlot.Origin)
	if v.budgetSlot.Origin == state.SlotHandedOver {
		r.window.Inherit(r.startedAt, v.budgetSlot.Spent)
	}
}

// confirmed records when a leader last confirmed the followed state as current.
func (r *retryLimit) confirmed(at sardine.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Share().Confirm(at)
}

// hasSlot reports whether the node has its budget slot.
func (r *retryLimit) hasSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasBudgetSlot
}

// close denies all further retries and returns the retry allowance used.
func (r *retryLimit) close(now sardine.Millis) state.SpentRetries {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Close(now)
}

// unloggedSeconds returns the per-second counts that have not been logged yet,
// and the log attributes of the node's part of the retry allowance.
func (r *retryLimit) unloggedSeconds(now sardine.Millis, all bool) ([]retry.Second, []slog.Attr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Seconds(now, all), r.partAttrs(now)
}

func (r *retryLimit) partAttrs(now sardine.Millis) []slog.Attr {
	return []slog.Attr{slog.Int("seats", r.window.Share().Slots()), slog.Float64("part", r.window.NodeAllowance(now))}
}

// shareAttrs returns the node's part of the retry allowance and when it may use
// it.
func (r *retryLimit) shareAttrs(now sardine.Millis) []slog.Attr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.partAttrs(now), slog.Int64("opens_ms", int64(r.window.Share().OpensIn(now))))
}

// logRetryCounts logs the retry counts of the seconds that have ended, or of
// all when the node stops.
func (n *Node) logRetryCounts(all bool) {
	if n.retries == nil {
		return
	}
	seconds, part := n.retries.unloggedSeconds(n.clock.Now(), all)
	for _, s := range seconds {
		event.Log(n.log, event.RepeatsCounted, append([]slog.Attr{
			slog.String("service", string(s.Service())),
			slog.Int("firsts", s.Requests()), slog.Int("repeats", s.Retries()), slog.Int("denied", s.Denied()),
			slog.Int("window_firsts", s.Window().Requests()), slog.Int("window_repeats", s.Window().Retries()), slog.Float64("window_slack", s.Window().Allowance()),
		}, part...)...)
	}
}

// updateRetryShare applies the node's share of the retry allowance, and logs
// when the node gains or loses its budget slot.
func (n *Node) updateRetryShare(v *view) {
	before := n.retries.hasSlot()
	n.retries.applyView(n.clock.Now(), v)
	if has := n.retries.hasSlot(); has != before {
		event.Log(n.log, event.RepeatsShared, append(n.retries.shareAttrs(n.clock.Now()),
			slog.Bool("seated", has), slog.String("arrival", v.budgetSlot.Origin.String()))...)
	}
}

// configureRouted applies a new view to the requests that the layout routes.
func (n *Node) configureRouted(v *view) {
	if !n.byLayout {
		return
	}
	n.updateRetryShare(v)
	if v.table == nil {
		return
	}
	if number := v.table.Layout().Number; number != n.configuredLayout {
		n.configuredLayout = number
		n.configureEngines(v.table.Layout())
		n.applyCallerLimits(v.table.Layout().Limits)
		n.waitEstimator.Retain(v.table.Layout())
	}
	for key, all := range v.candidates {
		s := v.table.Service(plan.ServiceOf(key.service))
		if s == nil || s.MaxConnections == 0 {
			continue
		}
		for _, c := range all {
			n.pool.SetLimit(c.Address, max(s.MaxConnections/max(v.budgetSlots, 1), 1))
		}
	}
}

// configureEngines applies the engine properties of a layout.
func (n *Node) configureEngines(l sardine.Layout) {
	for _, s := range l.Services {
		if s.Engine == nil {
			continue
		}
		iteration := s.Engine.Iteration
		for _, m := range s.Engine.Models {
			key := serviceKey{plan.LayoutTeam, plan.DeploymentName(s.Name, m.Name)}
			n.health.setIterationTime(key.routeName(), sardine.Millis(m.TimeFactor*iteration.MaxMillis(s.Engine.Slots)))
			prefillPer1K := 0.0
			if iteration.PrefillPerMilli > 0 {
				prefillPer1K = m.TimeFactor * 1000 / iteration.PrefillPerMilli
			}
			n.gate.setEngine(key.routeName(), route.Engine{Slots: s.Engine.Slots, PrefillPer1K: prefillPer1K})
		}
	}
}
