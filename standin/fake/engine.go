// Package fake holds a small model of engines, their weight store and the
// network between them and a control leader, on a virtual clock. It drives the
// real cores of packages fleet, plan and state in randomised tests and
// measurements.
package fake

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Engine is a model engine on one VM.
type Engine struct {
	VM           sardine.VMID
	Domain       sardine.FabricDomain
	DataCentre   sardine.DataCentre
	Accelerators int
	Loadable     []sardine.ModelName
	ChecksEpoch  bool
	ExactRelease bool // a release of another epoch than the one held changes nothing

	incarnation sardine.Incarnation
	alive       bool
	pausedUntil sardine.Millis
	leaving     bool
	holding     sardine.CurrentOrder
	highest     sardine.Epoch
	model       sardine.ModelName // of the weights in memory
	version     string
	loaded      sardine.Millis    // of the load under way, at the full rate
	fromHost    bool              // the load under way is from the host
	staged      sardine.ModelName // on the host, outlives the process
	staging     sardine.ModelName // that the host loads besides, empty for none
	stagedBy    sardine.Millis    // of that load, at the full rate
	slow        float64           // time for a token relative to others
	beatAt      sardine.Millis    // last announcement
	home        int
}

// Slowdown returns the engine's time for a token relative to others.
func (e *Engine) Slowdown() float64 {
	return max(e.slow, 1)
}

// running reports whether the engine's process does anything now.
func (e *Engine) running(now sardine.Millis) bool {
	return e.alive && e.pausedUntil <= now
}

// start begins the next incarnation of the engine's process.
func (e *Engine) start() {
	e.incarnation++
	e.alive = true
	e.leaving = false
	e.pausedUntil = 0
	e.holding = sardine.CurrentOrder{State: sardine.MemberIdle}
	e.highest = 0
	e.model = ""
	e.version = ""
	e.loaded = 0
	e.staging = ""
	e.fromHost = false
}

// take carries out an order as far as that needs no load.
func (e *Engine) take(o sardine.Order) error {
	if o.Stage {
		if e.staged != o.Model {
			e.staging = o.Model
			e.stagedBy = 0
		}
		return nil
	}
	if o.Open {
		return e.open(o)
	}
	if e.ChecksEpoch && o.Epoch < e.highest {
		return codes.New(codes.EpochRefused, "engine %s holds epoch %d, the order has %d", e.VM, e.highest, o.Epoch)
	}
	e.highest = max(e.highest, o.Epoch)
	if o.Release {
		if e.holding.Group == o.Group && (!e.ExactRelease || e.holding.Epoch == o.Epoch) {
			e.holding = sardine.CurrentOrder{State: sardine.MemberIdle, Model: e.model, Version: e.version}
			e.loaded = 0
		}
		return nil
	}
	e.holding = sardine.CurrentOrder{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank, Model: o.Model, Version: o.Version, State: sardine.MemberReady}
	if e.fromHost && e.holding.Group == o.Group && e.holding.Epoch == o.Epoch {
		return nil // it reads already
	}
	e.fromHost = e.staged == o.Model && (e.model != o.Model || e.version != o.Version)
	if e.fromHost {
		e.model = o.Model
		e.version = o.Version
		e.holding.State = sardine.MemberLoading
		return nil
	}
	if e.model != o.Model || e.version != o.Version {
		e.holding.State = sardine.MemberLoading
		e.model = ""
		e.version = ""
		e.loaded = 0
	}
	return nil
}

// open makes rank 0 of a group take requests.
func (e *Engine) open(o sardine.Order) error {
	h := e.holding
	if h.Group != o.Group || h.Epoch != o.Epoch || h.Rank != 0 || !h.State.Ready() {
		return codes.New(codes.TargetFailed, "engine %s is not ready to open group %s", e.VM, o.Group)
	}
	e.holding.State = sardine.MemberOpen
	return nil
}

// loading reports whether the engine reads from the weight store.
func (e *Engine) loading(now sardine.Millis) bool {
	return e.running(now) && (e.loadsFromStore() || e.staging != "")
}

func (e *Engine) loadsFromStore() bool {
	return e.holding.State == sardine.MemberLoading && !e.fromHost
}

// finishHost makes the engine ready that held an order when it began to read the
// weights from its host.
func (e *Engine) finishHost(h sardine.CurrentOrder) bool {
	if !e.alive || !e.fromHost || e.holding != h {
		return false
	}
	e.fromHost = false
	e.holding.State = sardine.MemberReady
	return true
}

// finishLoad makes the engine ready.
func (e *Engine) finishLoad() {
	e.model = e.holding.Model
	e.version = e.holding.Version
	e.holding.State = sardine.MemberReady
	e.staged = e.model
}

// finishStaging puts the model on the host.
func (e *Engine) finishStaging() {
	e.staged = e.staging
	e.staging = ""
}

// announcement is what the engine says about itself now.
func (e *Engine) announcement() sardine.Announcement {
	var staged []sardine.ModelName
	if e.staged != "" {
		staged = append(staged, e.staged)
	}
	return sardine.Announcement{
		Staged:       staged,
		VM:           e.VM,
		Incarnation:  e.incarnation,
		Kind:         sardine.KindEngine,
		Address:      string(e.VM) + ":80",
		DataCentre:   e.DataCentre,
		Domain:       e.Domain,
		Accelerators: e.Accelerators,
		Loadable:     e.Loadable,
		ChecksEpoch:  e.ChecksEpoch,
		Leaving:      e.leaving,
		CurrentOrder: e.holding,
		Load:         sardine.Load{StepMillis: 20 * e.Slowdown()},
	}
}
