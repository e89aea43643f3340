// Package codes holds the numbered result codes. One table defines the error
// answers to callers, sardctl's exit codes and docs/CODES.md.
package codes

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Code is a numbered result. The meaning of a number never changes.
type Code int

// Row describes one code.
type Row struct {
	Code    Code
	Name    string // in snake case
	Status  int    // HTTP status of an error answer with this code
	Meaning string
	Remedy  string // what the caller or operator should do
}

// Error is an error with a result code, created by New or Wrap.
type Error struct {
	code  Code
	cause error
}

// New returns an error with a code and a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, cause: eris.Errorf(format, args...)}
}

// Wrap returns an error with a code whose message is message, followed by that
// of err. It returns nil if err is nil.
func Wrap(code Code, err error, message string) error {
	if err == nil {
		return nil
	}
	return &Error{code: code, cause: eris.Wrap(err, message)}
}

// Error returns the code's name and number and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %v", e.code.Name(), int(e.code), e.cause)
}

// Code returns the result code.
func (e *Error) Code() Code {
	return e.code
}

// Message returns the message without the code.
func (e *Error) Message() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Of returns the code of the first coded error in the chain of err: OK for nil,
// Internal if the chain has none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.code
	}
	return Internal
}

// Is reports whether err is not nil and has the code.
func Is(err error, code Code) bool {
	return err != nil && Of(err) == code
}

// Name returns the code's snake case name.
func (c Code) Name() string {
	return c.Row().Name
}

// Status returns the HTTP status of an answer with this code.
func (c Code) Status() int {
	return c.Row().Status
}

// Row returns the code's row, or the row of Internal for an unknown number.
func (c Code) Row() Row {
	for _, r := range table {
		if r.Code == c {
			return r
		}
	}
	return table[1]
}

// Table returns a copy of all rows, ordered by number.
func Table() []Row {
	return append([]Row(nil), table...)
}
