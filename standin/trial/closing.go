package trial

import (
	"fmt"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

const (
	// settleMost is how long the members may take to agree once faults end.
	settleMost = 20 * sardine.Second
	// failoverMost bounds the time from a leader's loss to the next change.
	failoverMost = 2 * sardine.Second
	apartFor     = 3 * sardine.Second
	// quietFor is how long the load rests, so that all logs are equal.
	quietFor sardine.Millis = 1600
)

// closing ends the faults and checks what must hold on a healthy site.
func (t *trial) closing() {
	if t.book.violation != "" {
		return
	}
	t.calm = true
	t.driver.StopFaults()
	for _, m := range t.members {
		m.disk.LimitFree(-1)
		m.disk.FailSyncs(0, 0)
	}
	t.checkAgreement()
	if t.voters() > 1 {
		t.checkDisturbance()
		t.checkLostLeader()
	}
	if l := t.leader(); l != nil {
		t.report.Term = l.core.Term()
	}
}

// until runs the driver until f holds and returns how long it took; ok is false
// if it took longer than most.
func (t *trial) until(most sardine.Millis, f func() bool) (took sardine.Millis, ok bool) {
	start := t.driver.Now()
	for t.driver.Now()-start <= most && t.book.violation == "" {
		if f() {
			return t.driver.Now() - start, true
		}
		t.driver.Step()
	}
	return t.driver.Now() - start, false
}

// checkAgreement waits until every voter has applied what the leader has.
func (t *trial) checkAgreement() {
	_, ok := t.until(settleMost, func() bool {
		l := t.leader()
		return l != nil && l.index == t.book.highest && t.allApplied(l)
	})
	if !ok {
		t.book.fail("the members did not agree within %d ms after the faults ended: %s", settleMost, t.describe())
	}
}

// describe tells where each member stands.
func (t *trial) describe() string {
	var parts []string
	for _, m := range t.members {
		if m.core == nil {
			parts = append(parts, fmt.Sprintf("%s down broken=%t", m.id, m.broken))
			continue
		}
		s := m.core.Status()
		parts = append(parts, fmt.Sprintf("%s %s term %d last %d commit %d applied %d members %v", m.id, s.Role, s.Term, s.Last.Index, s.Commit, m.index, s.Members))
	}
	return strings.Join(parts, "; ")
}

func (t *trial) allApplied(l *member) bool {
	for _, m := range t.members {
		if !m.broken && t.lists(l, m.id) && (m.core == nil || m.index+2*keepEntries < l.index) {
			return false
		}
	}
	return true
}

// lists reports whether the leader's list holds a voter.
func (t *trial) lists(l *member, id sardine.NodeID) bool {
	for _, m := range l.core.Members() {
		if m.Node == id && !m.Learner {
			return true
		}
	}
	return false
}

func (t *trial) voters() int {
	l := t.leader()
	if l == nil {
		return 0
	}
	count := 0
	for _, m := range t.members {
		if !m.broken && t.lists(l, m.id) {
			count++
		}
	}
	return count
}

// checkDisturbance cuts a follower off for long and lets it return: the leader
// must stay.
func (t *trial) checkDisturbance() {
	l := t.leader()
	if l == nil || t.book.violation != "" || !t.spare(l) {
		return
	}
	t.quiet = true
	t.until(quietFor, func() bool { return false })
	t.until(settleMost, func() bool { return t.leader() != nil })
	if l = t.leader(); l == nil || !t.spare(l) {
		return
	}
	term := l.core.Term()
	for _, m := range t.members {
		if m != l && !m.broken && t.lists(l, m.id) {
			t.driver.Cut(l.id, m.id, apartFor)
			break
		}
	}
	t.until(apartFor+quietFor, func() bool { return false })
	t.quiet = false
	if now := t.leader(); t.book.violation == "" && (now == nil || now.core.Term() != term) {
		t.book.fail("a member that did not hear the leader %s of term %d deposed it: %s", l.id, term, t.describe())
	}
}

// checkLostLeader cuts the leader off, or makes it deaf: it must step down, and another one must
// get a change applied in time.
func (t *trial) checkLostLeader() {
	l := t.leader()
	if l == nil || t.book.violation != "" || !t.spare(l) {
		return
	}
	t.loseLeader(l)
	term, before := l.core.Term(), t.counter
	took, ok := t.until(failoverMost, func() bool {
		return t.counter > before && t.appliedAfter(term)
	})
	t.report.Failover = took
	if !ok {
		t.book.fail("no change was applied within %d ms after the leader %s was lost", failoverMost, l.id)
	}
	t.until(apartFor-took-1, func() bool { return false })
	if t.book.violation == "" && l.core != nil && l.core.IsLeader() && l.core.Term() == term {
		t.book.fail("%s leads on after %d ms without contact", l.id, apartFor)
	}
}

// spare reports whether a quorum is left when one more member is gone.
func (t *trial) spare(l *member) bool {
	return 2*(t.voters()-1) > t.listed(l)
}

// loseLeader cuts the leader off, or makes it deaf while the others still hear it.
func (t *trial) loseLeader(l *member) {
	if t.options.Seed%4 != 0 {
		t.driver.Isolate(l.id, apartFor)
		return
	}
	for _, m := range t.members {
		t.driver.Cut(m.id, l.id, apartFor)
	}
}

func (t *trial) listed(l *member) int {
	count := 0
	for _, m := range l.core.Members() {
		if !m.Learner {
			count++
		}
	}
	return count
}

// appliedAfter reports whether a leader of a later term has applied a command of
// its own.
func (t *trial) appliedAfter(term uint64) bool {
	for _, m := range t.members {
		if m.core != nil && m.core.IsLeader() && m.core.Term() > term && m.term > term && m.index > m.firstOfTerm() {
			return true
		}
	}
	return false
}

// firstOfTerm returns the index of the empty entry that the leader's term began with.
func (m *member) firstOfTerm() uint64 {
	return m.core.Status().FirstOfTerm
}
