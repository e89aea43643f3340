package engine

import (
	"context"
	"io"
	"net/http"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/order"
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if e.waitRunning(r.Context()) != nil {
		return
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, order.MaxBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := order.Decode(text)
	if err == nil {
		err = e.apply(o)
	}
	if err != nil {
		http.Error(w, err.Error(), codes.Of(err).Status())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply carries out an order. If the engine checks epochs, it rejects an order
// of an older epoch.
func (e *Engine) apply(o sardine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return codes.New(codes.TargetFailed, "the engine has stopped")
	}
	if e.settings.checksEpoch && o.Epoch < e.epoch {
		return codes.New(codes.EpochRefused, "the engine has accepted epoch %d, the order has epoch %d", e.epoch, o.Epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	if o.Same(e.order) && e.currentOrder.State != sardine.MemberFailed {
		return nil
	}
	if o.Release {
		e.release(o)
	} else {
		e.replace(o)
	}
	e.announcer.AnnounceNow()
	return nil
}

// release leaves the group of the order, if the engine is in it.
func (e *Engine) release(o sardine.Order) {
	if e.currentOrder.Group != o.Group {
		return
	}
	e.cancelWork()
}

// replace cancels the work of the previous order and starts to load the new
// order's model.
func (e *Engine) replace(o sardine.Order) {
	e.cancelWork()
	e.order = o
	e.currentOrder = sardine.CurrentOrder{
		Group: o.Group, Epoch: o.Epoch, Rank: o.Rank,
		Model: o.Model, Version: o.Version, State: sardine.MemberLoading,
	}
	ctx := e.ctx
	e.tasks.Go(func() error {
		e.loadWeights(ctx, o)
		return nil
	})
}

// cancelWork cancels running requests and loading, and leaves the group.
func (e *Engine) cancelWork() {
	e.cancel()
	e.leaveFabric()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.currentOrder, e.order = sardine.CurrentOrder{}, sardine.Order{}
}

// loadWeights loads the weights of an order and records the result, unless the
// order has been replaced meanwhile.
func (e *Engine) loadWeights(ctx context.Context, o sardine.Order) {
	state := sardine.MemberReady
	if !slices.Contains(e.settings.loadable, o.Model) || e.settings.loader.Load(ctx, o.Model, o.Version) != nil {
		state = sardine.MemberFailed
	}
	if e.waitRunning(ctx) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || !e.order.Same(o) {
		return
	}
	e.currentOrder.State = state
	if state == sardine.MemberReady && e.paused == nil {
		e.settings.fabric.add(o)
	}
	e.announcer.AnnounceNow()
}
