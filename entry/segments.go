package entry

import (
	"context"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/state"
)

const (
	// segmentHoldShare is the part of a caller's disconnect gap that a request waits
	// for the verdict on one of its segments. Its target needs the rest.
	segmentHoldShare = 0.6
	// segmentPollInterval is the time between two checks of the verdict.
	segmentPollInterval = 20 * sardine.Millis(1)
)

func segmentAttr(s guard.Segment) slog.Attr {
	return slog.String("segment", string(s.ID))
}

func segmentsAttr(all []guard.Segment) slog.Attr {
	ids := make([]sardine.SegmentID, 0, len(all))
	for _, s := range all {
		ids = append(ids, s.ID)
	}
	return slog.Any("segments", ids)
}

// arrived counts a request by its segments. Callers may name any model, so only
// those to deployments of the layout count.
func (s *strikes) arrived(key serviceKey, segments []guard.Segment) {
	if _, known := s.node.view().deployments[key]; !known || len(segments) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments.Arrived(key.routeName(), segments)
}

// checkSegments decides whether a request may be sent to a target.
func (s *strikes) checkSegments(service sardine.ServiceName, segments []guard.Segment) guard.SegmentVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segments.Check(s.node.clock.Now(), service, segments)
}

// hasSuspects reports whether one of the segments may have made a target fail.
func (s *strikes) hasSuspects(service sardine.ServiceName, segments []guard.Segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.segments.Suspects(s.node.clock.Now(), service, segments)) > 0
}

// claim reports whether the log grants all trials and probes to this node.
func (s *strikes) claim(claims []guard.ClaimRequest) bool {
	n := s.node
	for _, c := range claims {
		s.mu.Lock()
		key := s.segments.Claim(n.clock.Now(), n.id, n.incarnation, c)
		s.mu.Unlock()
		if result, err := n.proposeWithin(strikeSubmit, key); err != nil || result.Verdict != state.ClaimGranted {
			return false
		}
	}
	return true
}

// recordSuspects counts a loss whose target has exited against the segments that may
// have made it fail.
func (s *strikes) recordSuspects(l guard.Loss) {
	n := s.node
	s.mu.Lock()
	all := s.segments.CountLoss(n.clock.Now(), l)
	s.mu.Unlock()
	for _, one := range all {
		event.Log(n.log, event.SegmentStruck, requestAttr(l.Request), segmentAttr(one.Segment), poisonAttr(one.Segment.Fingerprint),
			slog.String("target", l.Failure.Target()), slog.Uint64("epoch", uint64(l.Failure.Epoch)), slog.Int("known", one.Known))
		s.push(one.Strike)
	}
}

// proven records that a target has begun to answer a request with the segments.
func (s *strikes) proven(service sardine.ServiceName, segments []guard.Segment) {
	if len(segments) == 0 {
		return
	}
	s.mu.Lock()
	releases := s.segments.Proven(s.node.clock.Now(), service, segments)
	s.mu.Unlock()
	for _, r := range releases {
		event.Log(s.node.log, event.SegmentCleared, poisonAttr(guard.Fingerprint(r.Fingerprint)))
		s.push(r)
	}
}

// awaitSegments waits until the request may be sent as far as its segments are
// concerned. The error is one of codes.PoisonRequest, codes.SegmentSuspected and the
// cause of ctx's cancellation.
func (q *routedRun) awaitSegments(ctx context.Context) error {
	n := q.node
	if len(q.losses.segments) == 0 {
		return nil
	}
	q.probing = false
	until := min(q.deadline, n.clock.Now()+sardine.Millis(segmentHoldShare*float64(q.disconnectGap())))
	for {
		v := n.strikes.checkSegments(q.losses.service, q.losses.segments)
		switch v.Verdict {
		case guard.Allowed:
			return nil
		case guard.Refused:
			return codes.New(codes.PoisonRequest, "segment %s of the prompt crashed the targets that ran it", v.Segment.ID)
		case guard.Trial, guard.Probe:
			if n.strikes.claim(v.Claims) {
				q.probing = true
				event.Log(n.log, event.SegmentProbed, requestAttr(q.call.ID), segmentAttr(v.Segment), poisonAttr(v.Segment.Fingerprint))
				return nil
			}
		}
		if n.clock.Now() >= until {
			return codes.New(codes.SegmentSuspected, "segment %s of the prompt is tested with another request", v.Segment.ID)
		}
		if err := n.sleep(ctx, segmentPollInterval); err != nil {
			return err
		}
	}
}
