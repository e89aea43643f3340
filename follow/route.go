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
	blocked  map[string]sardine.Millis // relays that failed, until when to avoid them
	failures int                       // in a row
	notUntil sardine.Millis            // earliest instant of the next request
}

// next returns the address to ask and whether it is a relay.
func (t *route) next() (address string, relay bool) {
	if t.relay != "" {
		return t.relay, true
	}
	return t.control(), false
}

// control returns the control node to ask.
func (t *route) control() string {
	if t.leader != "" {
		return t.leader
	}
	if len(t.controls) == 0 {
		return ""
	}
	return t.controls[t.at%len(t.controls)]
}

// answered notes a success, and the relay that a control node assigned.
func (t *route) answered(now sardine.Millis, address string, fromRelay bool, assigned string) {
	t.failures = 0
	t.notUntil = now
	if fromRelay {
		return
	}
	t.leader = address
	if until, failed := t.blocked[assigned]; failed && now < until {
		return
	}
	delete(t.blocked, assigned)
	if assigned != t.self {
		t.relay = assigned
	}
}

// failed notes a request without a useful answer and moves on to the next
// address after a pause.
func (t *route) failed(now sardine.Millis, address string, fromRelay bool) {
	if fromRelay {
		if t.relay == address {
			t.relay = ""
		}
		t.block(now, address)
		t.notUntil = now
		return
	}
	t.failures++
	if address == t.leader {
		t.leader = ""
	}
	t.at++
	t.notUntil = now + t.pause()
}

func (t *route) block(now sardine.Millis, address string) {
	for old, until := range t.blocked {
		if now >= until {
			delete(t.blocked, old)
		}
	}
	t.blocked[address] = now + t.retry + sardine.Millis(t.random.IntN(int(t.retry)/4+1))
}

// redirected notes the leader that a control node named.
func (t *route) redirected(now sardine.Millis, address, leader string) {
	if leader == "" || leader == address {
		t.failed(now, address, false)
		return
	}
	t.failures++
	t.leader = leader
	t.notUntil = now
	if t.failures > 2 {
		t.notUntil = now + t.pause()
	}
}

// pause returns the backoff after the failures so far, drawn from the upper half.
func (t *route) pause() sardine.Millis {
	most := min(BackoffFirst<<min(t.failures, 8), BackoffMost)
	return most/2 + sardine.Millis(t.random.IntN(int(most/2)+1))
}
