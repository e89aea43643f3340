package proxy

import (
	"strconv"

	"sardineswitch.dev/sardine/codes"
)

// Sequence decides which events of a stream are forwarded to the caller if its answer
// comes from several targets, one after the other. The first answer is forwarded
// unchanged. An answer that resumes it may contain only the next events, each with
// its number: the text of an error, or an end without any event, is not part of the
// stream.
type Sequence struct {
	last       string // id of the event that was forwarded last, as the target wrote it
	number     uint64 // last as a number
	step       uint64 // difference between consecutive numbers, 0 while unknown
	uneven     bool   // the differences vary
	unnumbered bool   // data without a number, or bytes that are no event, were forwarded
	resumed    bool   // the current answer resumes an earlier one
	progress   bool   // an event with data of the current answer was forwarded
	delivered  bool   // an event with a number was forwarded
}

// Last returns the id of the last numbered event that was forwarded, empty without
// one.
func (s *Sequence) Last() string {
	return s.last
}

// Begin starts the next answer. It resumes the stream if a numbered event was
// forwarded before.
func (s *Sequence) Begin() {
	s.resumed = s.delivered
	s.progress = false
}

// MayResume reports whether another answer can resume the stream: numbered events were
// forwarded, and neither other data nor bytes that are no event.
func (s *Sequence) MayResume() bool {
	return s.delivered && !s.unnumbered
}

// ShouldForward reports whether to forward an event. It skips one that the caller already
// has, and fails with codes.AnswerInvalid if the event is not part of the stream.
func (s *Sequence) ShouldForward(e Event) (bool, error) {
	number, err := strconv.ParseUint(e.ID, 10, 64)
	numbered := err == nil
	switch {
	case numbered && s.delivered && number <= s.number:
		return false, nil
	case !s.resumed:
		s.unnumbered = s.unnumbered || e.Malformed || e.HasData && !numbered
	case e.Malformed || e.HasData && !numbered:
		return false, codes.New(codes.AnswerInvalid, "the data after event %s is not an event of the stream", s.last)
	case !numbered || !e.HasData:
		return false, nil // a keep-alive, which a caller with the answer's head does not need
	case !s.follows(number):
		return false, codes.New(codes.AnswerInvalid, "event %d follows event %s", number, s.last)
	}
	if numbered {
		s.record(e.ID, number)
	}
	s.progress = s.progress || e.HasData
	return true, nil
}

// follows reports whether number is the next one. Any higher number is, if the
// differences between the earlier numbers vary.
func (s *Sequence) follows(number uint64) bool {
	return s.uneven || number == s.number+max(s.step, 1)
}

func (s *Sequence) record(id string, number uint64) {
	if s.delivered {
		step := number - s.number
		s.uneven = s.uneven || s.step != 0 && s.step != step
		s.step = step
	}
	s.last, s.number, s.delivered = id, number, true
}

// End returns an error if the answer must not end here. A resumed answer without any
// event does not prove that the stream had ended.
func (s *Sequence) End() error {
	if s.resumed && !s.progress {
		return codes.New(codes.AnswerInvalid, "no event follows event %s", s.last)
	}
	return nil
}
