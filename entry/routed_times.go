package entry

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
)

// answerTimes records the timing of one answer. Instants are 0 until they are
// reached, and refer to the last attempt.
type answerTimes struct {
	pickedAt       sardine.Millis // the target was chosen
	sentAt         sardine.Millis // the request was written to it
	headAt         sardine.Millis // the answer's header was received
	firstAt        sardine.Millis // the first event, or the header of an answer without events
	longestPause   sardine.Millis // the longest between two events
	longestPauseAt sardine.Millis // when that pause began
	events         int            // forwarded, over all attempts
	choice         *route.Choice
}

// late reports whether the first event, the header or a pause missed the
// route's objective.
func (q *routedRun) late() bool {
	if q.times.firstAt > 0 && q.times.firstAt-q.arrived > q.route.Objective {
		return true
	}
	return q.route.MaxGap > 0 && q.times.longestPause > q.route.MaxGap
}

// logLate logs the timing of a late answer.
func (q *routedRun) logLate() {
	event.Log(q.node.log, event.RequestLate, append(q.timeAttrs(),
		slog.Int64("objective_ms", int64(q.route.Objective)), slog.Int64("gap_ms", int64(q.route.MaxGap)))...)
}

// logAbandoned logs how far a request got whose caller disconnected or whose
// time was up.
func (q *routedRun) logAbandoned(cause error) {
	event.Log(q.node.log, event.RequestLeft, append(q.timeAttrs(), codeAttr(cause), ranAttr(q.ran),
		slog.Bool("in_time", q.node.clock.Now() < q.deadline), slog.Bool("began", q.headSent))...)
}

// sizeAttrs returns the number of tokens in the prompt and in the expected
// answer.
func (q *routedRun) sizeAttrs() []slog.Attr {
	return []slog.Attr{slog.Int("prompt", q.call.PromptTokens), slog.Int("answer", q.call.ExpectedAnswer())}
}

// timeAttrs returns the timing in milliseconds since the request arrived, -1
// for instants that were not reached.
func (q *routedRun) timeAttrs() []slog.Attr {
	t := q.times
	since := func(at sardine.Millis) int64 {
		if at == 0 {
			return -1
		}
		return int64(at - q.arrived)
	}
	attrs := []slog.Attr{
		requestAttr(q.call.ID), poisonAttr(q.losses.poison), slog.String("route", q.route.Name), slog.Int("attempts", q.attempts),
		slog.Int64("picked_ms", since(t.pickedAt)), slog.Int64("sent_ms", since(t.sentAt)),
		slog.Int64("head_ms", since(t.headAt)), slog.Int64("first_ms", since(t.firstAt)),
		slog.Int64("pause_ms", int64(t.longestPause)), slog.Int64("pause_at_ms", since(t.longestPauseAt)),
		slog.Int64("took_ms", int64(q.node.clock.Now()-q.arrived)), slog.Int("events", q.times.events),
		slog.Int64("waited_ms", int64(q.waited)), slog.Int64("patience_ms", int64(q.call.Timeout)),
	}
	attrs = append(attrs, q.sizeAttrs()...)
	if t.choice == nil {
		return attrs
	}
	return append(attrs, slog.String("target", t.choice.Candidate.Ref.String()), slog.Int("rank", q.rank),
		slog.Int64("expected_ms", int64(t.choice.Expected)), slog.Float64("requests", t.choice.TargetRequests), slog.Int("slots", q.slots()),
		slog.Int64("report_age_ms", int64(t.choice.ReportAge)))
}
