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

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
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

// apply carries out an order, or refuses an older epoch if the engine checks.
func (e *Engine) apply(o sardine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return codes.New(codes.TargetFailed, "the engine has stopped")
	}
	if e.settings.checksEpoch && o.Epoch < e.epoch {
		return codes.New(codes.EpochRefused, "the engine took epoch %d, the order carries %d", e.epoch, o.Epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	if o.Same(e.order) && e.holding.State != sardine.MemberFailed {
		return nil
	}
	if o.Release {
		e.release(o)
	} else {
		e.replace(o)
	}
	e.caller.Now()
	return nil
}

// release drops the named group; another group stays.
func (e *Engine) release(o sardine.Order) {
	if e.holding.Group != o.Group {
		return
	}
	e.dropWork()
}

// replace gives up what the engine holds and loads the new order's model.
func (e *Engine) replace(o sardine.Order) {
	e.dropWork()
	e.order = o
	e.holding = sardine.Holding{
		Group: o.Group, Epoch: o.Epoch, Rank: o.Rank,
		Model: o.Model, Version: o.Version, State: sardine.MemberLoading,
	}
	ctx := e.ctx
	e.duties.Go(func() error {
		e.loadWeights(ctx, o)
		return nil
	})
}

func (e *Engine) dropWork() {
	e.cancel()
	e.detach()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.holding, e.order = sardine.Holding{}, sardine.Order{}
}

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
	e.holding.State = state
	if state == sardine.MemberReady && e.paused == nil {
		e.settings.fabric.join(o)
	}
	e.caller.Now()
}
