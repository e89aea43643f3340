package proxy

import (
	sardine "sardineswitch.dev/sardine"
)

// Failure is the error of a dispatch without a valid answer, with the information
// whether the target ran the request.
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

// Ran returns whether the target ran the request, as far as known.
func (f *Failure) Ran() sardine.Ran {
	return f.ran
}
