package ctlapi

import (
	"errors"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// NotLeaderError is an error with the code NotLeader that names the leader.
type NotLeaderError struct {
	cause  error
	leader string
}

// NewNotLeader returns an error that redirects the caller to the leader's address,
// which is empty if no leader is known.
func NewNotLeader(leader string) error {
	return &NotLeaderError{cause: codes.New(codes.NotLeader, "this control node does not lead"), leader: leader}
}

// Error returns the cause's message.
func (e *NotLeaderError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause, which carries the code.
func (e *NotLeaderError) Unwrap() error {
	return e.cause
}

// Leader returns the leader's address, empty if unknown.
func (e *NotLeaderError) Leader() string {
	return e.leader
}

// FaultOf returns the wire message of err, nil for nil.
func FaultOf(err error) *wire.Fault {
	if err == nil {
		return nil
	}
	fault := &wire.Fault{Code: int32(codes.Of(err)), Detail: err.Error()}
	var coded *codes.Error
	if errors.As(err, &coded) {
		fault.Detail = coded.Message()
	}
	var redirect *NotLeaderError
	if errors.As(err, &redirect) {
		fault.Leader = redirect.leader
	}
	return fault
}

// ErrorOf returns the error of a wire message, nil for nil.
func ErrorOf(f *wire.Fault) error {
	if f == nil {
		return nil
	}
	if codes.Code(f.Code) == codes.NotLeader {
		return NewNotLeader(f.Leader)
	}
	return codes.New(codes.Code(f.Code), "%s", f.Detail)
}
