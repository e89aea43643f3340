package guard

import (
	"slices"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// ProvenEvents is the number of events of an answer after which its target has
// survived to begin it.
const ProvenEvents = 2

const (
	// provenFor is how long a segment that worked on this node gets no strikes.
	provenFor = 10 * sardine.Second
	// probeInterval is the time after which another request may probe a segment.
	// The log counts failures less than state.MinStrikeInterval apart as one, so an
	// earlier probe could crash a target without adding a strike.
	probeInterval = sardine.Millis(state.MinStrikeInterval)
	// maxClearing is the number of probes of a refused segment that may have got its
	// strikes for another one: the first may meet a target that fails for another cause.
	maxClearing = 2
	// clearingInterval is the time between these probes.
	clearingInterval = 2 * sardine.Second
	// maxBlamed bounds the strikes for one request.
	maxBlamed = 32
)

// Segment is a segment of a prompt that several requests may share.
type Segment struct {
	ID          sardine.SegmentID
	Service     sardine.ServiceName // deployment that is judged with it, empty for all together
	Fingerprint Fingerprint
}

// SegmentsOf returns the segments of a request to a deployment. Each is judged twice:
// for the deployment, since it may work at another one, and for all deployments
// together, so that it need not be judged anew where a route sends it next.
func SegmentsOf(service sardine.ServiceName, ids []sardine.SegmentID) []Segment {
	all := make([]Segment, 0, 2*len(ids))
	for _, id := range ids {
		all = append(all, newSegment(service, id), newSegment("", id))
	}
	return all
}

func newSegment(service sardine.ServiceName, id sardine.SegmentID) Segment {
	return Segment{ID: id, Service: service, Fingerprint: FingerprintOf(nil, "segment", string(service), string(id))}
}

// SegmentVerdict is the decision on a request by its segments.
type SegmentVerdict struct {
	Verdict Verdict
	// Segment is the one that decided, unless the request is allowed.
	Segment Segment
	// Claims are the claims of the trials and probes that the request would be. It
	// may be sent only if the log grants all of them.
	Claims []ClaimRequest
}

// ClaimRequest identifies a trial or a probe of a segment.
type ClaimRequest struct {
	segment  Segment
	trial    bool
	clearing bool // a probe of a refused segment, see explained
	key      string
}

// suspicion is the state of a segment with strikes that has not worked on this node.
type suspicion struct {
	id      sardine.SegmentID
	strikes int
	since   sardine.Millis // when this node learned of the last strike
	probed  int            // round of the last probe that this node claimed since then
	// clearings is the number of clearing probes that this node claimed.
	clearings int
}

// clearingDue reports whether this node may claim another clearing probe.
func (p *suspicion) clearingDue(now sardine.Millis) bool {
	return p.clearings < maxClearing && now >= p.since+sardine.Millis(p.clearings)*clearingInterval
}

// SegmentCounter finds segments of prompts that make their targets fail, whichever
// requests they come in. It has no I/O or clock and is not safe for concurrent use.
//
// A target that fails is a strike against each segment of the requests that it had
// not begun to answer, except those known to work. From its first strike until it is
// known to work, requests with a segment are sent one at a time over all entry nodes.
// After MaxFailures strikes they are refused.
type SegmentCounter struct {
	failures *FailureCounter
	usage    *usage
	suspects map[Fingerprint]*suspicion
}

// NewSegmentCounter returns a counter of the strikes in the replicated state, which
// it reads by r, and of those that it counts itself.
func NewSegmentCounter(r PoisonReader) *SegmentCounter {
	return &SegmentCounter{
		failures: NewFailureCounter(r),
		usage:    newUsage(),
		suspects: make(map[Fingerprint]*suspicion),
	}
}

// Arrived counts a request to a deployment. Segments of most of its requests that
// have worked are not suspected: nothing tells them apart from the deployment itself.
func (c *SegmentCounter) Arrived(service sardine.ServiceName, segments []Segment) {
	c.usage.add(service, segments)
}

// Check decides whether a request with the segments may be sent to a target. A refusal
// by one segment precedes a wait for another, and that a probe.
func (c *SegmentCounter) Check(now sardine.Millis, service sardine.ServiceName, segments []Segment) SegmentVerdict {
	var refused, waiting *Segment
	result := SegmentVerdict{Verdict: Allowed}
	for _, s := range segments {
		if c.failures.Count(s.Fingerprint) == 0 || c.usage.common(service, s.Fingerprint) {
			continue
		}
		switch verdict, claim := c.check(now, s, segments); verdict {
		case Refused:
			refused = &s
		case Wait:
			waiting = &s
		case Trial, Probe:
			result.Verdict, result.Segment = verdict, s
			result.Claims = append(result.Claims, claim)
		}
	}
	switch {
	case refused != nil:
		return SegmentVerdict{Verdict: Refused, Segment: *refused}
	case waiting != nil:
		return SegmentVerdict{Verdict: Wait, Segment: *waiting}
	default:
		return result
	}
}

// check decides by one segment with strikes. The claim belongs to a trial or a probe.
func (c *SegmentCounter) check(now sardine.Millis, s Segment, segments []Segment) (Verdict, ClaimRequest) {
	p := c.suspicionOf(now, s)
	switch verdict := c.failures.Check(now, s.Fingerprint); {
	case verdict == Trial:
		return Trial, ClaimRequest{segment: s, trial: true}
	case verdict == Refused && p.clearingDue(now) && c.explained(s, segments):
		return Probe, ClaimRequest{segment: s, clearing: true, key: "explained/" + strconv.Itoa(p.clearings)}
	case verdict == Refused:
		return Refused, ClaimRequest{}
	case c.failures.completed.has(now, s.Fingerprint):
		return Allowed, ClaimRequest{}
	}
	round := c.round(now, s)
	if round <= p.probed {
		return Wait, ClaimRequest{}
	}
	return Probe, ClaimRequest{segment: s, key: strconv.Itoa(p.strikes) + "/" + strconv.Itoa(round)}
}

// explained reports whether a refused segment got its strikes in the company of other
// refused ones that this request does not have. Without this, a segment that comes with
// each occurrence of one that makes targets fail would be refused as well.
func (c *SegmentCounter) explained(s Segment, segments []Segment) bool {
	unexplained := slices.Clone(c.failures.reader.Poison(s.Fingerprint[:]).Failures)
	if len(unexplained) < MaxFailures { // the log does not have all of them yet
		return false
	}
	for f := range c.failures.refused {
		if p := c.suspects[f]; p == nil || slices.ContainsFunc(segments, func(o Segment) bool { return o.ID == p.id }) {
			continue
		}
		others := c.failures.reader.Poison(f[:]).Failures
		unexplained = slices.DeleteFunc(unexplained, func(e state.TargetFailure) bool { return slices.Contains(others, e) })
	}
	return len(unexplained) <= 1 // of failures at almost the same moment the log may have counted another one
}

// suspicionOf returns the suspicion of a segment, anew for each strike.
func (c *SegmentCounter) suspicionOf(now sardine.Millis, s Segment) *suspicion {
	strikes := min(c.failures.Count(s.Fingerprint), MaxFailures)
	p := c.suspects[s.Fingerprint]
	if p == nil || p.strikes != strikes {
		p = &suspicion{id: s.ID, strikes: strikes, since: now}
		c.suspects[s.Fingerprint] = p
	}
	return p
}

// round returns the number of the current probe since the last strike, 0 before the
// first.
func (c *SegmentCounter) round(now sardine.Millis, s Segment) int {
	p := c.suspicionOf(now, s)
	age := now - p.since
	if recorded := c.failures.reader.Poison(s.Fingerprint[:]); len(recorded.Failures) == p.strikes {
		age = max(age, sardine.Millis(c.failures.reader.Time()-recorded.At)) // this node may learn of a strike late
	}
	return int(age / probeInterval)
}

// Claim returns the command that claims a trial or a probe, and notes that this node
// has asked for it. The log grants it to the first node.
func (c *SegmentCounter) Claim(now sardine.Millis, node sardine.NodeID, i sardine.Incarnation, r ClaimRequest) state.ClaimKey {
	claim := c.failures.TrialClaim(node, i, r.segment.Fingerprint)
	if r.trial {
		return claim
	}
	claim.Key += "/probe/" + r.key
	if p := c.suspicionOf(now, r.segment); r.clearing {
		p.clearings++
	} else {
		p.probed = c.round(now, r.segment)
	}
	return claim
}

// Suspects returns the segments of a lost request that may have made its target
// fail: those that never worked as far as this node knows, or else those that have
// not worked lately.
func (c *SegmentCounter) Suspects(now sardine.Millis, service sardine.ServiceName, segments []Segment) []Segment {
	var unknown, idle []Segment
	for _, s := range segments {
		switch {
		case c.usage.common(service, s.Fingerprint):
		case !c.failures.completed.has(now, s.Fingerprint):
			unknown = append(unknown, s)
		case now-c.failures.completed.at(s.Fingerprint) >= provenFor:
			idle = append(idle, s)
		}
	}
	if len(unknown) == 0 {
		unknown = idle
	}
	return unknown[:min(len(unknown), maxBlamed)]
}

// SegmentStrike is a strike against a segment.
type SegmentStrike struct {
	Segment Segment
	Strike  state.Strike
	Known   int // strikes of the segment that this node knows, with this one
}

// CountLoss counts a loss whose target is known to have failed, and returns the
// strikes to propose. A target that had begun the answer did not fail for a segment.
func (c *SegmentCounter) CountLoss(now sardine.Millis, l Loss) []SegmentStrike {
	if l.Events >= ProvenEvents {
		return nil
	}
	var strikes []SegmentStrike
	for _, s := range c.Suspects(now, l.Service, l.Segments) {
		if c.failures.Count(s.Fingerprint) >= MaxFailures || c.failures.hasRecent(now, s.Fingerprint) {
			continue
		}
		if strike, counts := c.failures.CountLoss(now, Loss{Fingerprint: s.Fingerprint, Failure: l.Failure, At: l.At}); counts {
			c.suspicionOf(now, s)
			strike.Doubtful = true // other causes make several targets fail at the same moment
			strikes = append(strikes, SegmentStrike{Segment: s, Strike: strike, Known: c.failures.Count(s.Fingerprint)})
		}
	}
	return strikes
}

// Count returns the number of strikes of a segment.
func (c *SegmentCounter) Count(s Segment) int {
	return c.failures.Count(s.Fingerprint)
}

// Proven records that a target has begun to answer a request with the segments. It
// returns the commands that remove their strikes.
func (c *SegmentCounter) Proven(now sardine.Millis, service sardine.ServiceName, segments []Segment) []state.ReleasePoison {
	c.usage.proven(service, segments)
	var releases []state.ReleasePoison
	for _, s := range segments {
		if release, struck := c.failures.Completed(now, s.Fingerprint); struck {
			releases = append(releases, release)
		}
	}
	return releases
}

// StrikeCommitted records the index at which a strike was committed, 0 if the log
// refused it.
func (c *SegmentCounter) StrikeCommitted(s state.Strike, index uint64) {
	c.failures.StrikeCommitted(s, index)
}

// ReleaseCommitted records the index at which a release was committed, 0 if the log
// refused it.
func (c *SegmentCounter) ReleaseCommitted(r state.ReleasePoison, index uint64) {
	c.failures.ReleaseCommitted(r, index)
}

// Prune drops the entries that the replicated state has caught up with.
func (c *SegmentCounter) Prune() {
	c.failures.Prune()
	for f := range c.suspects {
		if c.failures.Count(f) == 0 {
			delete(c.suspects, f)
		}
	}
}
