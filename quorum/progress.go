package quorum

import sardine "sardineswitch.dev/sardine"

// mode is how the leader sends to a member.
type mode uint8

const (
	probing     mode = iota + 1 // one message at a time, until the match is known
	replicating                 // pipelined
	installing                  // snapshot chunks
)

// flight is an unacknowledged message of entries.
type flight struct {
	last  uint64
	bytes int
}

// progress is what the leader knows about another member.
type progress struct {
	mode       mode
	match      uint64 // highest entry known to be durable there
	next       uint64 // next entry to send
	flights    []flight
	bytes      int            // of all flights
	heardAt    sardine.Millis // last answer
	ackedAt    sardine.Millis // last advance of match, or start of the first flight
	sent       bool           // a probe or chunk is under way
	sentAt     sardine.Millis
	sentCommit uint64
	round      uint64 // highest heartbeat round answered
	folder     uint64 // highest number of its data folder
	settled    bool
	install    Position
	offset     uint64
}

// newProgress returns the progress of a member of which nothing is known.
func newProgress(next uint64, now sardine.Millis) *progress {
	return &progress{mode: probing, next: next, heardAt: now}
}

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.flights = nil
	p.bytes = 0
	p.sent = false
}

// replaceFolder forgets what an earlier folder of the member held.
func (p *progress) replaceFolder(folder uint64) {
	if p.folder != 0 {
		p.match = 0
		p.settled = false
		p.probe()
	}
	p.folder = folder
}

func (p *progress) launch(now sardine.Millis, last uint64, bytes int) {
	if len(p.flights) == 0 {
		p.ackedAt = now
	}
	p.flights = append(p.flights, flight{last: last, bytes: bytes})
	p.bytes += bytes
	p.next = last + 1
}

// advance notes that all entries up to index are durable there.
func (p *progress) advance(now sardine.Millis, index uint64) {
	if index > p.match {
		p.match = index
		p.ackedAt = now
	}
	p.next = max(p.next, p.match+1)
	for len(p.flights) > 0 && p.flights[0].last <= p.match {
		p.bytes -= p.flights[0].bytes
		p.flights = p.flights[1:]
	}
}

// retry returns to probing when flights or a probe have stayed unanswered.
func (p *progress) retry(now, after sardine.Millis) {
	if p.mode == replicating && len(p.flights) > 0 && now-p.ackedAt >= after {
		p.probe()
	}
	if p.sent && now-p.sentAt >= after {
		p.sent = false
	}
}
