package follow

import (
	sardine "sardineswitch.dev/sardine"
)

// route chooses whom a follower asks: its relay, else the leading control node,
// else the control nodes one after the other.
type route struct {
	self     string
	controls []string
	random   sardine.Random
	retry    sardine.Millis
	at       int    // control node to ask next
	leader   string // address named by a control node, asked before the others
	relay    string
	blocked  map[string]sardine.Millis // addresses that failed, until when to avoid them
	failures int                       // in a row
	notUntil sardine.Millis            // earliest instant of the next request
}

// next returns the address to ask and whether it is a relay.
func (t *route) next(now sardine.Millis) (address string, relay bool) {
	t.unblock(now)
	if t.relay != "" {
		return t.relay, true
	}
	return t.control(), false
}

// control returns the control node to ask: the leader if it is known, else the
// next one that did not fail to answer lately.
func (t *route) control() string {
	if t.leader != "" {
		return t.leader
	}
	if len(t.controls) == 0 {
		return ""
	}
	for i := range t.controls {
		address := t.controls[(t.at+i)%len(t.controls)]
		if _, silent := t.blocked[address]; !silent {
			return address
		}
	}
	return t.controls[t.at%len(t.controls)]
}

// probeTimeout bounds a poll that is not held. Only a leader gets more time.
func (t *route) probeTimeout(address string) sardine.Millis {
	if t.failures >= SlowAfter && address == t.leader {
		return 2 * ProbeTimeout
	}
	return ProbeTimeout
}

// answered notes a success of a control node, and the relay that it assigned.
func (t *route) answered(now sardine.Millis, address, assigned string) {
	t.failures = 0
	t.notUntil = now
	t.leader = address
	delete(t.blocked, address)
	t.unblock(now)
	if _, failed := t.blocked[assigned]; failed {
		return
	}
	if assigned != t.self {
		t.relay = assigned
	}
}

// relayed notes a success of a relay, and the leader that it follows, which is
// asked first if the relay fails.
func (t *route) relayed(now sardine.Millis, leader string) {
	t.failures = 0
	t.notUntil = now
	t.leader = leader
}

// failed notes a request without an answer and moves on to the next address
// after a pause.
func (t *route) failed(now sardine.Millis, address string, fromRelay bool) {
	if fromRelay {
		t.leaveRelay(now, address, t.retry)
		return
	}
	if t.failures > 0 { // one late answer is no reason to avoid the only node that leads
		t.block(now, address, ControlRest)
	}
	t.skip(address)
	t.failures++
	t.notUntil = now + t.pause(min(BackoffFirst<<min(t.failures, 8), BackoffMost))
}

// refused notes an answer that is of no use.
func (t *route) refused(now sardine.Millis, address string, fromRelay bool) {
	if fromRelay {
		t.leaveRelay(now, address, RelayRest)
		return
	}
	t.skip(address)
	t.failures++
	t.notUntil = now + t.pause(ElectionPause)
}

func (t *route) leaveRelay(now sardine.Millis, address string, rest sardine.Millis) {
	if t.relay == address {
		t.relay = ""
	}
	t.block(now, address, rest)
	// The relay may have failed because its leader did, so the first poll is a
	// short one.
	t.at = t.random.IntN(max(len(t.controls), 1))
	t.failures = max(t.failures, 1)
	t.notUntil = now
}

func (t *route) skip(address string) {
	if address == t.leader {
		t.leader = ""
	}
	t.at++
}

// block avoids an address for a time, up to a quarter longer.
func (t *route) block(now sardine.Millis, address string, rest sardine.Millis) {
	t.unblock(now)
	t.blocked[address] = now + rest + sardine.Millis(t.random.IntN(int(rest)/4+1))
}

func (t *route) unblock(now sardine.Millis) {
	for old, until := range t.blocked {
		if now >= until {
			delete(t.blocked, old)
		}
	}
}

// redirected notes the leader that a control node named.
func (t *route) redirected(now sardine.Millis, address, leader string) {
	t.unblock(now)
	if _, silent := t.blocked[leader]; silent || leader == "" || leader == address {
		t.refused(now, address, false)
		return
	}
	t.failures++
	t.leader = leader
	t.notUntil = now
	if t.failures > 2 {
		t.notUntil = now + t.pause(ElectionPause)
	}
}

// pause draws a time from the upper half of most.
func (t *route) pause(most sardine.Millis) sardine.Millis {
	return most/2 + sardine.Millis(t.random.IntN(int(most/2)+1))
}
