package entry

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
)

// answerTimes tells where the time of one answer went. Instants are 0 until they
// come; those of the last attempt stand.
type answerTimes struct {
	pickedAt sardine.Millis // a target was chosen
	sentAt   sardine.Millis // the request was written to it
	headAt   sardine.Millis // the answer's head came
	firstAt  sardine.Millis // the first event, or the head of an answer without events
	pause    sardine.Millis // the longest between two events
	pausedAt sardine.Millis // when that one began
	events   int            // that were passed on, over all attempts
	choice   *route.Choice
}

// late reports whether the answer's first piece or one of its pauses came later
// than the route asks.
func (q *routed) late() bool {
	if q.times.firstAt > 0 && q.times.firstAt-q.arrived > q.route.Objective {
		return true
	}
	return q.route.Gap > 0 && q.times.pause > q.route.Gap
}

// logLate says where the time of a late answer went.
func (q *routed) logLate() {
	event.Log(q.node.log, event.RequestLate, append(q.timeAttrs(),
		slog.Int64("objective_ms", int64(q.route.Objective)), slog.Int64("gap_ms", int64(q.route.Gap)))...)
}

// logLeft says how far a request got whose caller left or whose time was over.
func (q *routed) logLeft(cause error) {
	event.Log(q.node.log, event.RequestLeft, append(q.timeAttrs(), codeAttr(cause), ranAttr(q.ran),
		slog.Bool("in_time", q.node.clock.Now() < q.deadline), slog.Bool("began", q.began))...)
}

// sizeAttrs are the tokens to read and to write.
func (q *routed) sizeAttrs() []slog.Attr {
	return []slog.Attr{slog.Int("prompt", q.call.PromptTokens), slog.Int("answer", q.call.Answer())}
}

// timeAttrs are milliseconds since the request arrived, -1 for what did not come.
func (q *routed) timeAttrs() []slog.Attr {
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
		slog.Int64("pause_ms", int64(t.pause)), slog.Int64("pause_at_ms", since(t.pausedAt)),
		slog.Int64("took_ms", int64(q.node.clock.Now()-q.arrived)), slog.Int("events", q.times.events),
		slog.Int64("waited_ms", int64(q.waited)), slog.Int64("patience_ms", int64(q.call.Patience)),
	}
	attrs = append(attrs, q.sizeAttrs()...)
	if t.choice == nil {
		return attrs
	}
	return append(attrs, slog.String("target", t.choice.Candidate.Ref.String()), slog.Int("rank", q.rank),
		slog.Int64("expected_ms", int64(t.choice.Expected)), slog.Float64("requests", t.choice.Requests), slog.Int("slots", q.slots()),
		slog.Int64("report_age_ms", int64(t.choice.ReportAge)))
}
