// Package fake models engines, their weight store, and the network between them
// and a control leader, on a virtual clock. It runs packages fleet, plan and
// state in randomised tests and measurements.
package fake

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Engine is a simulated engine on one VM.
type Engine struct {
	VM           sardine.VMID
	Domain       sardine.FabricDomain
	DataCentre   sardine.DataCentre
	Accelerators int
	Loadable     []sardine.ModelName
	ChecksEpoch  bool
	ExactRelease bool // a release of another epoch than the one held changes nothing

	incarnation     sardine.Incarnation
	alive           bool
	pausedUntil     sardine.Millis
	leaving         bool
	currentOrder    sardine.CurrentOrder
	highestEpoch    sardine.Epoch
	model           sardine.ModelName // whose weights are in memory, empty for none
	version         string
	loadProgress    sardine.Millis    // of the current load, as time at the full rate
	fromHost        bool              // the current load is from the host
	staged          sardine.ModelName // on the host, survives a restart of the process
	staging         sardine.ModelName // that the host is loading, empty for none
	stagingProgress sardine.Millis    // of the load of the host, as time at the full rate
	slowdown        float64           // time per token relative to other engines
	lossReportAt    sardine.Millis    // when the change reporter reports the loss
	home            int               // index of the home node
}

// Slowdown returns the engine's time per token relative to other engines.
func (e *Engine) Slowdown() float64 {
	return max(e.slowdown, 1)
}

// running reports whether the engine's process runs and is not paused.
func (e *Engine) running(now sardine.Millis) bool {
	return e.alive && e.pausedUntil <= now
}

// start begins the next incarnation of the engine's process.
func (e *Engine) start() {
	e.incarnation++
	e.alive = true
	e.leaving = false
	e.pausedUntil = 0
	e.currentOrder = sardine.CurrentOrder{State: sardine.MemberIdle}
	e.highestEpoch = 0
	e.model = ""
	e.version = ""
	e.loadProgress = 0
	e.staging = ""
	e.fromHost = false
}

// handleOrder carries out an order, except for the load that it may start.
func (e *Engine) handleOrder(o sardine.Order) error {
	if o.Stage {
		if e.staged != o.Model {
			e.staging = o.Model
			e.stagingProgress = 0
		}
		return nil
	}
	if o.Open {
		return e.open(o)
	}
	if e.ChecksEpoch && o.Epoch < e.highestEpoch {
		return codes.New(codes.EpochRefused, "engine %s holds epoch %d, the order has %d", e.VM, e.highestEpoch, o.Epoch)
	}
	e.highestEpoch = max(e.highestEpoch, o.Epoch)
	if o.Release {
		if e.currentOrder.Group == o.Group && (!e.ExactRelease || e.currentOrder.Epoch == o.Epoch) {
			e.currentOrder = sardine.CurrentOrder{State: sardine.MemberIdle, Model: e.model, Version: e.version}
			e.loadProgress = 0
		}
		return nil
	}
	e.currentOrder = sardine.CurrentOrder{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank, Model: o.Model, Version: o.Version, State: sardine.MemberReady}
	if e.fromHost && e.currentOrder.Group == o.Group && e.currentOrder.Epoch == o.Epoch {
		return nil // the read from the host is under way
	}
	e.fromHost = e.staged == o.Model && (e.model != o.Model || e.version != o.Version)
	if e.fromHost {
		e.model = o.Model
		e.version = o.Version
		e.currentOrder.State = sardine.MemberLoading
		return nil
	}
	if e.model != o.Model || e.version != o.Version {
		e.currentOrder.State = sardine.MemberLoading
		e.model = ""
		e.version = ""
		e.loadProgress = 0
	}
	return nil
}

// open makes the engine, as rank 0 of a group, accept requests.
func (e *Engine) open(o sardine.Order) error {
	h := e.currentOrder
	if h.Group != o.Group || h.Epoch != o.Epoch || h.Rank != 0 || !h.State.Ready() {
		return codes.New(codes.TargetFailed, "engine %s is not ready to open group %s", e.VM, o.Group)
	}
	e.currentOrder.State = sardine.MemberOpen
	return nil
}

// usesStore reports whether the engine or its host loads from the weight store.
func (e *Engine) usesStore(now sardine.Millis) bool {
	return e.running(now) && (e.loadsFromStore() || e.staging != "")
}

// loadsFromStore reports whether the engine itself loads from the weight store.
func (e *Engine) loadsFromStore() bool {
	return e.currentOrder.State == sardine.MemberLoading && !e.fromHost
}

// finishHostRead makes the engine ready if its order is still the one with which
// it began to read the weights from its host. It reports whether it is.
func (e *Engine) finishHostRead(h sardine.CurrentOrder) bool {
	if !e.alive || !e.fromHost || e.currentOrder != h {
		return false
	}
	e.fromHost = false
	e.currentOrder.State = sardine.MemberReady
	return true
}

// finishLoad ends the load from the weight store: the engine is ready, and its
// host has the model.
func (e *Engine) finishLoad() {
	e.model = e.currentOrder.Model
	e.version = e.currentOrder.Version
	e.currentOrder.State = sardine.MemberReady
	e.staged = e.model
}

// finishStaging ends the load of the host.
func (e *Engine) finishStaging() {
	e.staged = e.staging
	e.staging = ""
}

// announcement returns the announcement that the engine would send now.
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
		CurrentOrder: e.currentOrder,
		Load:         sardine.Load{StepMillis: 20 * e.Slowdown()},
	}
}
