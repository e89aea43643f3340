package quorum

import sardine "sardineswitch.dev/sardine"

// mode is how the leader replicates to a member.
type mode uint8

const (
	probing     mode = iota + 1 // one message at a time, until the matching index is known
	replicating                 // pipelined entries
	installing                  // snapshot chunks
)

// inflightAppend is an unacknowledged append message.
type inflightAppend struct {
	last  uint64
	bytes int
}

// progress is the replication state that a leader keeps for another member.
type progress struct {
	mode             mode
	match            uint64 // highest entry known to be durable on the member
	next             uint64 // next entry to send
	inflight         []inflightAppend
	inflightBytes    int            // entry bytes of all inflight messages
	lastContact      sardine.Millis // time of the last reply, or of the start of the term
	heardAt          sardine.Millis // time of the last reply or, from the previous leader, message
	ackedAt          sardine.Millis // time of the last advance of match, or of the first inflight message
	awaitingReply    bool           // a probe or chunk is unanswered
	sentAt           sardine.Millis
	sentCommit       uint64   // commit index last sent to the member
	ackedRound       uint64   // highest heartbeat round that the member replied to
	folder           uint64   // highest data folder number that the member reported
	settled          bool     // the member reported HardState.Settled
	snapshotPosition Position // snapshot being sent
	snapshotOffset   uint64   // next offset to send
}

// newProgress returns the progress of a member whose log is unknown.
func newProgress(next uint64, now sardine.Millis) *progress {
	return &progress{mode: probing, next: next, lastContact: now, heardAt: now}
}

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.inflight = nil
	p.inflightBytes = 0
	p.awaitingReply = false
}

// replaceFolder records a new data folder of the member and discards what an
// earlier one acknowledged.
func (p *progress) replaceFolder(folder uint64) {
	if p.folder != 0 {
		p.match = 0
		p.settled = false
		p.probe()
	}
	p.folder = folder
}

func (p *progress) addInflight(now sardine.Millis, last uint64, bytes int) {
	if len(p.inflight) == 0 {
		p.ackedAt = now
	}
	p.inflight = append(p.inflight, inflightAppend{last: last, bytes: bytes})
	p.inflightBytes += bytes
	p.next = last + 1
}

// advance records that the entries up to index are durable on the member.
func (p *progress) advance(now sardine.Millis, index uint64) {
	if index > p.match {
		p.match = index
		p.ackedAt = now
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// retryUnanswered returns to probing if inflight messages were not acknowledged
// for the given time, and allows an unanswered probe or chunk to be sent again.
func (p *progress) retryUnanswered(now, after sardine.Millis) {
	if p.mode == replicating && len(p.inflight) > 0 && now-p.ackedAt >= after {
		p.probe()
	}
	if p.awaitingReply && now-p.sentAt >= after {
		p.awaitingReply = false
	}
}
