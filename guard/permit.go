package guard

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// permits is the workspace of the claims that let one copy of a struck request
// run. Callers' workspaces can't have this name.
const permits sardine.Workspace = "\x00guard"

// advance asks for the permit of the first copy of a struck fingerprint that
// waits, once no other copy runs here.
func (g *Guard) advance(now sardine.Millis, f Fingerprint) []Action {
	for _, r := range g.copies[f] {
		if r.started {
			return nil
		}
	}
	for len(g.copies[f]) > 0 {
		r := g.copies[f][0]
		struck := g.register.Strikes(f[:])
		switch {
		case len(struck) >= state.PoisonGroups:
			g.forget(r)
			return append([]Action{Refuse{Request: r.id, Code: codes.PoisonRequest}}, g.advance(now, f)...)
		case len(struck) == 0 || g.options.hooks.noPermits:
			r.started = true
			return []Action{Run{Request: r.id, Avoid: struck}}
		default:
			r.started = true
			key := claim.Key{Workspace: permits, Key: f.String() + "/" + string(struck[0])}
			return g.perform(now, g.keeper.Offer(now, r.id, key, f[:], r.deadline))
		}
	}
	return nil
}

// perform turns the keeper's actions into the guard's.
func (g *Guard) perform(now sardine.Millis, actions []claim.Action) []Action {
	var all []Action
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Propose:
			all = append(all, Propose{ID: a.ID, Command: a.Command})
		case claim.Dispatch:
			all = append(all, g.permitted(now, a)...)
		case claim.Refuse:
			all = append(all, g.denied(now, a)...)
		}
	}
	return all
}

// permitted runs a request that holds its permit, unless its fingerprint got
// another strike meanwhile. The strike of the copy before it is in the log
// before the permit, so the register is asked only once it is as far.
func (g *Guard) permitted(now sardine.Millis, d claim.Dispatch) []Action {
	r := g.requests[d.Request]
	r.attempt = d.Attempt
	r.followed = g.answered
	if g.register.Index() < r.followed && !g.options.hooks.noFollow {
		g.held = append(g.held, r)
		return nil
	}
	return g.runPermitted(now, r)
}

func (g *Guard) runPermitted(now sardine.Millis, r *request) []Action {
	struck := g.register.Strikes(r.fingerprint[:])
	if len(struck) >= state.PoisonGroups {
		actions := []Action{Refuse{Request: r.id, Code: codes.PoisonRequest}}
		return append(actions, g.leave(now, r)...)
	}
	return []Action{Run{Request: r.id, Avoid: struck}}
}

// Followed lets requests run whose permit is younger than what the register
// had applied. Call it when the register has applied more, or with Tick.
func (g *Guard) Followed(now sardine.Millis) []Action {
	var actions []Action
	var held []*request
	for _, r := range g.held {
		switch {
		case g.requests[r.id] != r:
		case g.register.Index() < r.followed:
			held = append(held, r)
		default:
			actions = append(actions, g.runPermitted(now, r)...)
		}
	}
	g.held = held
	return actions
}

// denied refuses a request without a permit: its turn did not come in time, or
// the copy that had it was lost with its entry node, which may have cost a
// second group that nobody reported.
func (g *Guard) denied(now sardine.Millis, a claim.Refuse) []Action {
	r := g.requests[a.Request]
	if r == nil {
		return nil
	}
	code := a.Code
	if code == codes.OutcomeUnknown {
		code = codes.PoisonRequest
		if now >= r.deadline {
			code = codes.QueueFull
		}
	}
	g.forget(r)
	return append([]Action{Refuse{Request: r.id, Code: code}}, g.advance(now, r.fingerprint)...)
}

// leave gives a request's permit back and lets the next copy go on.
func (g *Guard) leave(now sardine.Millis, r *request) []Action {
	g.forget(r)
	var actions []Action
	if r.attempt != 0 {
		dropped, err := g.keeper.Ended(r.attempt, claim.Outcome{Ran: sardine.RanNo, Code: codes.OK})
		if err == nil {
			actions = g.perform(now, dropped)
		}
	}
	return append(actions, g.advance(now, r.fingerprint)...)
}
