package proxy

import (
	"strconv"

	"sardineswitch.dev/sardine/codes"
)

// Sequence decides which events a caller gets of a stream whose answer may come from
// several targets, one after the other. The first answer is passed on as it is. One
// that goes on with it may hold nothing but the events that follow, each with its
// number: an error's text, or an end without any event, is no part of the stream.
type Sequence struct {
	last      string // number of the event that was passed on last, as it was written
	number    uint64
	step      uint64 // between two numbers, 0 while it is not known
	uneven    bool   // the steps differ
	unmarked  bool   // an event without a number was passed on
	resumed   bool   // the answer goes on with an earlier one
	progress  bool   // an event of this answer was passed on
	delivered bool   // an event with a number was passed on
}

// Last returns the number of the event that was passed on last, empty without one.
func (s *Sequence) Last() string {
	return s.last
}

// Begin starts an answer. Once events were passed on, it goes on with their stream.
func (s *Sequence) Begin() {
	s.resumed = s.delivered
	s.progress = false
}

// MayResume reports whether another answer can go on with what was passed on: all of
// its events had numbers.
func (s *Sequence) MayResume() bool {
	return !s.unmarked
}

// Take reports whether an event is passed on. One that the caller has already is not.
// An event that is no part of the stream gives codes.AnswerInvalid.
func (s *Sequence) Take(e Event) (bool, error) {
	number, err := strconv.ParseUint(e.ID, 10, 64)
	marked := err == nil
	switch {
	case marked && s.delivered && number <= s.number:
		return false, nil
	case !s.resumed:
		s.unmarked = s.unmarked || e.Data && !marked
	case e.Foreign || e.Data && !marked:
		return false, codes.New(codes.AnswerInvalid, "what follows event %s is no event of the stream", s.last)
	case !marked || !e.Data:
		return false, nil // it keeps the connection open, and the caller has an answer's head already
	case !s.follows(number):
		return false, codes.New(codes.AnswerInvalid, "event %d follows event %s", number, s.last)
	}
	if marked {
		s.note(e.ID, number)
	}
	s.progress = s.progress || e.Data
	return true, nil
}

// follows reports whether the number is the next one, as far as the numbers before tell.
func (s *Sequence) follows(number uint64) bool {
	return s.uneven || number == s.number+max(s.step, 1)
}

func (s *Sequence) note(id string, number uint64) {
	if s.delivered {
		step := number - s.number
		s.uneven = s.uneven || s.step != 0 && s.step != step
		s.step = step
	}
	s.last, s.number, s.delivered = id, number, true
}

// End reports whether the answer may end here. One that was to go on with a stream and
// brought nothing is no proof that the stream had ended.
func (s *Sequence) End() error {
	if s.resumed && !s.progress {
		return codes.New(codes.AnswerInvalid, "nothing follows event %s", s.last)
	}
	return nil
}
