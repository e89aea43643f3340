package trial

import (
	"fmt"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

const (
	// agreementTimeout is how long the members may take to agree once the
	// faults have ended.
	agreementTimeout = 20 * sardine.Second
	// maxFailover bounds the time from a leader's loss to the next applied
	// change.
	maxFailover = 2 * sardine.Second
	// isolationTime is how long messages are dropped.
	isolationTime = 3 * sardine.Second
	// pauseFor is how long no changes are proposed, so that all logs become
	// equal.
	pauseFor sardine.Millis = 1600
)

// finalChecks ends the faults and checks what must hold on a healthy site.
func (t *trial) finalChecks() {
	if t.checker.violation != "" {
		return
	}
	t.faultsEnded = true
	t.driver.StopFaults()
	for _, m := range t.members {
		m.disk.LimitFree(-1)
		m.disk.FailSyncs(0, 0)
	}
	t.checkAgreement()
	if t.usableVoters() > 1 {
		t.checkReturningFollower()
		t.checkLostLeader()
	}
	if l := t.leader(); l != nil {
		t.report.Term = l.core.Term()
	}
}

// waitUntil runs the driver until f returns true and returns how long that
// took. If it takes longer than most, ok is false.
func (t *trial) waitUntil(most sardine.Millis, f func() bool) (took sardine.Millis, ok bool) {
	start := t.driver.Now()
	for t.driver.Now()-start <= most && t.checker.violation == "" {
		if f() {
			return t.driver.Now() - start, true
		}
		t.driver.Step()
	}
	return t.driver.Now() - start, false
}

// checkAgreement waits until every voter has applied what the leader has
// applied, except for the last 20 entries (2*keepEntries).
func (t *trial) checkAgreement() {
	_, ok := t.waitUntil(agreementTimeout, func() bool {
		l := t.leader()
		return l != nil && l.index == t.checker.highest && t.allApplied(l)
	})
	if !ok {
		t.checker.fail("the members did not agree within %d ms after the faults ended: %s", agreementTimeout, t.describe())
	}
}

// describe returns the status of each member.
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
		if !m.broken && t.listsVoter(l, m.id) && (m.core == nil || m.index+2*keepEntries < l.index) {
			return false
		}
	}
	return true
}

// listsVoter reports whether a member is a voter in the leader's list.
func (t *trial) listsVoter(l *member, id sardine.NodeID) bool {
	for _, m := range l.core.Members() {
		if m.Node == id && !m.Learner {
			return true
		}
	}
	return false
}

// usableVoters returns the number of voters in the leader's list whose folder
// can be used.
func (t *trial) usableVoters() int {
	l := t.leader()
	if l == nil {
		return 0
	}
	count := 0
	for _, m := range t.members {
		if !m.broken && t.listsVoter(l, m.id) {
			count++
		}
	}
	return count
}

// checkReturningFollower drops all messages from the leader to a follower for a
// time. When they arrive again, the leader must still lead in the same term.
func (t *trial) checkReturningFollower() {
	l := t.leader()
	if l == nil || t.checker.violation != "" || !t.canLoseVoter(l) {
		return
	}
	t.proposalsPaused = true
	t.waitUntil(pauseFor, func() bool { return false })
	t.waitUntil(agreementTimeout, func() bool { return t.leader() != nil })
	if l = t.leader(); l == nil || !t.canLoseVoter(l) {
		return
	}
	term := l.core.Term()
	for _, m := range t.members {
		if m != l && !m.broken && t.listsVoter(l, m.id) {
			t.driver.Cut(l.id, m.id, isolationTime)
			break
		}
	}
	t.waitUntil(isolationTime+pauseFor, func() bool { return false })
	t.proposalsPaused = false
	if now := t.leader(); t.checker.violation == "" && (now == nil || now.core.Term() != term) {
		t.checker.fail("a member that received nothing from the leader %s of term %d deposed it: %s", l.id, term, t.describe())
	}
}

// checkLostLeader cuts the leader off. Another leader must get a change applied
// in time, and the lost one must step down.
func (t *trial) checkLostLeader() {
	l := t.leader()
	if l == nil || t.checker.violation != "" || !t.canLoseVoter(l) {
		return
	}
	t.cutOffLeader(l)
	term, before := l.core.Term(), t.proposals
	took, ok := t.waitUntil(maxFailover, func() bool {
		return t.proposals > before && t.appliedAfter(term)
	})
	t.report.Failover = took
	if !ok {
		t.checker.fail("no change was applied within %d ms after the leader %s was lost", maxFailover, l.id)
	}
	t.waitUntil(isolationTime-took-1, func() bool { return false })
	if t.checker.violation == "" && l.core != nil && l.core.IsLeader() && l.core.Term() == term {
		t.checker.fail("%s still leads after %d ms without contact", l.id, isolationTime)
	}
}

// canLoseVoter reports whether the usable voters without one of them are a
// majority of the list.
func (t *trial) canLoseVoter(l *member) bool {
	return 2*(t.usableVoters()-1) > t.listedVoters(l)
}

// cutOffLeader cuts the leader off from the other members, with every fourth
// seed only in the direction to the leader.
func (t *trial) cutOffLeader(l *member) {
	if t.options.Seed%4 != 0 {
		t.driver.Isolate(l.id, isolationTime)
		return
	}
	for _, m := range t.members {
		t.driver.Cut(m.id, l.id, isolationTime)
	}
}

// listedVoters returns the number of voters in the leader's list.
func (t *trial) listedVoters(l *member) int {
	count := 0
	for _, m := range l.core.Members() {
		if !m.Learner {
			count++
		}
	}
	return count
}

// appliedAfter reports whether the leader of a later term has applied a command
// of its own term.
func (t *trial) appliedAfter(term uint64) bool {
	for _, m := range t.members {
		if m.core != nil && m.core.IsLeader() && m.core.Term() > term && m.term > term && m.index > m.firstIndexOfTerm() {
			return true
		}
	}
	return false
}

// firstIndexOfTerm returns the index of the empty entry that the leader's term
// began with.
func (m *member) firstIndexOfTerm() uint64 {
	return m.core.Status().FirstOfTerm
}
