package follow

import (
	sardine "sardineswitch.dev/sardine"
)

// route selects the node that a follower polls: its relay, else the leading
// control node, else the control nodes one after the other.
type route struct {
	self      string
	controls  []string
	random    sardine.Random
	retry     sardine.Millis
	at        int    // index of the control node to poll next
	leader    string // address of the last known leader, polled before the other control nodes
	relay     string
	avoided   map[string]sardine.Millis // addresses that failed, with the end of the time to avoid them
	failures  int                       // consecutive
	notBefore sardine.Millis            // earliest instant of the next request
}

// next returns the address to poll and whether it is a relay.
func (t *route) next(now sardine.Millis) (address string, relay bool) {
	t.endAvoidance(now)
	if t.relay != "" {
		return t.relay, true
	}
	return t.control(), false
}

// control returns the control node to poll: the leader if it is known, else the
// next one that is not avoided.
func (t *route) control() string {
	if t.leader != "" {
		return t.leader
	}
	if len(t.controls) == 0 {
		return ""
	}
	for i := range t.controls {
		address := t.controls[(t.at+i)%len(t.controls)]
		if _, avoided := t.avoided[address]; !avoided {
			return address
		}
	}
	return t.controls[t.at%len(t.controls)]
}

// alternate returns the next control node that is neither an address nor avoided, empty
// if there is none.
func (t *route) alternate(address string) string {
	for i := range t.controls {
		other := t.controls[(t.at+i)%len(t.controls)]
		if _, avoided := t.avoided[other]; !avoided && other != address {
			return other
		}
	}
	return ""
}

func (t *route) isAvoided(now sardine.Millis, address string) bool {
	t.endAvoidance(now)
	_, avoided := t.avoided[address]
	return avoided
}

// probeTimeout returns the timeout of a poll that is not held.
func (t *route) probeTimeout(address string) sardine.Millis {
	if address == t.leader {
		return LeaderProbeTimeout
	}
	return ProbeTimeout
}

// answered records a reply of the leader and the relay that it assigned, unless
// that relay failed recently or is this node itself.
func (t *route) answered(now sardine.Millis, address, assigned string) {
	t.failures = 0
	t.notBefore = now
	t.leader = address
	delete(t.avoided, address)
	t.endAvoidance(now)
	if _, failed := t.avoided[assigned]; failed {
		return
	}
	if assigned != t.self {
		t.relay = assigned
	}
}

// relayed records a reply of a relay and the leader that the relay follows, which
// is polled first if the relay fails.
func (t *route) relayed(now sardine.Millis, leader string) {
	t.failures = 0
	t.notBefore = now
	t.leader = leader
}

// failed records a request without a reply. The next one goes to another control
// node after a pause, or at once if a relay failed.
func (t *route) failed(now sardine.Millis, address string, fromRelay bool) {
	if fromRelay {
		t.leaveRelay(now, address, t.retry)
		return
	}
	if t.failures > 0 { // a single timeout must not exclude the only node that leads
		t.avoid(now, address, ControlAvoidance)
	}
	t.skip(address)
	t.failures++
	t.notBefore = now + t.pause(min(BackoffBase<<min(t.failures, 8), MaxBackoff))
}

// refused records a reply that is a fault.
func (t *route) refused(now sardine.Millis, address string, fromRelay bool) {
	if fromRelay {
		t.leaveRelay(now, address, RefusedRelayAvoidance)
		return
	}
	t.skip(address)
	t.failures++
	t.notBefore = now + t.pause(ElectionPause)
}

func (t *route) leaveRelay(now sardine.Millis, address string, rest sardine.Millis) {
	if t.relay == address {
		t.relay = ""
	}
	t.avoid(now, address, rest)
	// The relay may have failed because its leader did. Failures above 0 make the
	// next poll one that is not held and has a short timeout.
	t.at = t.random.IntN(max(len(t.controls), 1))
	t.failures = max(t.failures, 1)
	t.notBefore = now
}

func (t *route) skip(address string) {
	if address == t.leader {
		t.leader = ""
	}
	t.at++
}

// avoid avoids an address for the time rest, plus a random part of up to a
// quarter of it.
func (t *route) avoid(now sardine.Millis, address string, rest sardine.Millis) {
	t.endAvoidance(now)
	t.avoided[address] = now + rest + sardine.Millis(t.random.IntN(int(rest)/4+1))
}

func (t *route) endAvoidance(now sardine.Millis) {
	for old, until := range t.avoided {
		if now >= until {
			delete(t.avoided, old)
		}
	}
}

// redirected records the leader that a control node named. If it names none or
// one that is avoided, the reply counts as a fault.
func (t *route) redirected(now sardine.Millis, address, leader string) {
	if t.isAvoided(now, leader) || leader == "" || leader == address {
		t.refused(now, address, false)
		return
	}
	t.failures++
	t.leader = leader
	t.notBefore = now
	if t.failures > 2 {
		t.notBefore = now + t.pause(ElectionPause)
	}
}

// pause returns a random time between half of most and most.
func (t *route) pause(most sardine.Millis) sardine.Millis {
	return most/2 + sardine.Millis(t.random.IntN(int(most/2)+1))
}
