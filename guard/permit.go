package guard

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// permitWorkspace is the workspace of the claims that serve as permits, which
// allow one copy of a request with a strike to run. Callers' workspaces cannot
// have this name.
const permitWorkspace sardine.Workspace = "\x00guard"

// advance claims the permit for the first waiting copy of a fingerprint with a
// strike, once this node runs no other copy of it.
func (g *Guard) advance(now sardine.Millis, f Fingerprint) []Action {
	for _, r := range g.copies[f] {
		if r.started {
			return nil
		}
	}
	for len(g.copies[f]) > 0 {
		r := g.copies[f][0]
		struck := g.reader.StrikeGroups(f[:])
		switch {
		case len(struck) >= state.DefaultPoisonLimit:
			g.remove(r)
			return append([]Action{Refuse{Request: r.id, Code: codes.PoisonRequest}}, g.advance(now, f)...)
		case len(struck) == 0 || g.options.hooks.noPermits:
			r.started = true
			return []Action{Run{Request: r.id, Avoid: struck}}
		default:
			r.started = true
			key := claim.Key{Workspace: permitWorkspace, Key: f.String() + "/" + string(struck[0])}
			return g.perform(now, g.claims.Offer(now, r.id, key, f[:], r.deadline))
		}
	}
	return nil
}

// perform converts the claim coordinator's actions into the guard's.
func (g *Guard) perform(now sardine.Millis, actions []claim.Action) []Action {
	var all []Action
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Propose:
			all = append(all, Propose{ID: a.ID, Command: a.Command})
		case claim.Dispatch:
			all = append(all, g.handleGrant(now, a)...)
		case claim.Refuse:
			all = append(all, g.handleDenial(now, a)...)
		}
	}
	return all
}

// handleGrant runs a request that got its permit, unless its fingerprint got
// another strike meanwhile. The log has the strike of the previous copy before
// the permit, so the strikes are read only after this node has applied the
// permit's index.
func (g *Guard) handleGrant(now sardine.Millis, d claim.Dispatch) []Action {
	r := g.requests[d.Request]
	r.attempt = d.Attempt
	r.minIndex = g.highestIndex
	if g.reader.Index() < r.minIndex && !g.options.hooks.ignoreIndex {
		g.awaitingIndex = append(g.awaitingIndex, r)
		return nil
	}
	return g.runPermitted(now, r)
}

func (g *Guard) runPermitted(now sardine.Millis, r *request) []Action {
	struck := g.reader.StrikeGroups(r.fingerprint[:])
	if len(struck) >= state.DefaultPoisonLimit {
		actions := []Action{Refuse{Request: r.id, Code: codes.PoisonRequest}}
		return append(actions, g.finish(now, r)...)
	}
	return []Action{Run{Request: r.id, Avoid: struck}}
}

// IndexAdvanced runs the requests that waited for this node to apply the index of
// their permit. Call it when the applied index has risen; Tick calls it too.
func (g *Guard) IndexAdvanced(now sardine.Millis) []Action {
	var actions []Action
	var awaitingIndex []*request
	for _, r := range g.awaitingIndex {
		switch {
		case g.requests[r.id] != r:
		case g.reader.Index() < r.minIndex:
			awaitingIndex = append(awaitingIndex, r)
		default:
			actions = append(actions, g.runPermitted(now, r)...)
		}
	}
	g.awaitingIndex = awaitingIndex
	return actions
}

// handleDenial refuses a request that gets no permit: its deadline passed, or
// the copy that held the permit was lost with its entry node and may have
// crashed a second group without a report.
func (g *Guard) handleDenial(now sardine.Millis, a claim.Refuse) []Action {
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
	g.remove(r)
	return append([]Action{Refuse{Request: r.id, Code: code}}, g.advance(now, r.fingerprint)...)
}

// finish removes a request, releases its permit and advances the next copy.
func (g *Guard) finish(now sardine.Millis, r *request) []Action {
	g.remove(r)
	var actions []Action
	if r.attempt != 0 {
		dropped, err := g.claims.Ended(r.attempt, claim.Outcome{Ran: sardine.RanNo, Code: codes.OK})
		if err == nil {
			actions = g.perform(now, dropped)
		}
	}
	return append(actions, g.advance(now, r.fingerprint)...)
}
