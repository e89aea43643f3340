package entry

import (
	"context"
	"log/slog"
	"strconv"

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
	// modelSegmentHold is how long a request to a model of the own interface waits for it.
	modelSegmentHold = 2 * sardine.Second
	// segmentPollInterval is the time between two checks of the verdict.
	segmentPollInterval = 20 * sardine.Millis(1)
)

// segmentAttr identifies a segment and the deployment for which it is judged, "" for all.
func segmentAttr(s guard.Segment) slog.Attr {
	return slog.Group("", slog.String("segment", string(s.ID)), slog.String("service", string(s.Service)))
}

// segmentsAttr lists the segments of a prompt, each once.
func segmentsAttr(all []guard.Segment) slog.Attr {
	ids := make([]sardine.SegmentID, 0, len(all))
	for _, s := range all {
		if s.Service != "" {
			ids = append(ids, s.ID)
		}
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

// segmentsProven records that a target has begun to answer a request with the segments.
func (s *strikes) segmentsProven(service sardine.ServiceName, segments []guard.Segment) {
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
func (q *routedRun) awaitSegments(ctx context.Context) (err error) {
	q.probing, err = q.losses.awaitSegments(ctx, q.segmentDeadline())
	return err
}

// segmentDeadline returns until when the request may wait for the verdict on one of its
// segments from now on.
func (q *routedRun) segmentDeadline() sardine.Millis {
	hold := sardine.Millis(segmentHoldShare * float64(q.disconnectGap()))
	return min(q.deadline, q.node.clock.Now()+hold)
}

// awaitSegments waits, at most until the given instant, until the request may be sent,
// and reports whether it is a probe or a trial of one of its segments.
func (l *losses) awaitSegments(ctx context.Context, until sardine.Millis) (probing bool, err error) {
	n := l.node
	if len(l.segments) == 0 {
		return false, nil
	}
	for {
		v := n.strikes.checkSegments(l.service, l.segments)
		switch v.Verdict {
		case guard.Allowed:
			return false, nil
		case guard.Refused:
			return false, codes.New(codes.PoisonRequest, "segment %s of the prompt crashed the targets that ran it", v.Segment.ID)
		case guard.Trial, guard.Probe:
			if n.linksTrusted() && n.strikes.claim(v.Claims) {
				event.Log(n.log, event.SegmentProbed, requestAttr(l.request), segmentAttr(v.Segment), poisonAttr(v.Segment.Fingerprint))
				return true, nil
			}
		}
		if n.clock.Now() >= until {
			return false, codes.New(codes.SegmentSuspected, "segment %s of the prompt is tested with another request", v.Segment.ID)
		}
		if err := n.sleep(ctx, segmentPollInterval); err != nil {
			return false, err
		}
	}
}

// prefixSegments returns the segments of a prompt of the own interface: its prefixes
// of whole blocks.
func prefixSegments(service sardine.ServiceName, prefixes []uint64) []guard.Segment {
	ids := make([]sardine.SegmentID, 0, len(prefixes))
	for _, hash := range prefixes {
		ids = append(ids, sardine.SegmentID(strconv.FormatUint(hash, 16)))
	}
	return guard.SegmentsOf(service, ids)
}
