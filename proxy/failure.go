package proxy

import (
	sardine "sardineswitch.dev/sardine"
)

// Failure is a dispatch that brought no answer, with what is known of its run.
type Failure struct {
	ran   sardine.Ran
	cause error
}

func newFailure(ran sardine.Ran, cause error) *Failure {
	return &Failure{ran: ran, cause: cause}
}

// Error returns the cause.
func (f *Failure) Error() string {
	return f.cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.cause
}

// Ran tells whether the target ran the request.
func (f *Failure) Ran() sardine.Ran {
	return f.ran
}
