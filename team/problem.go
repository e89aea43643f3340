package team

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// Problem is one error in a document.
type Problem struct {
	Line     int // from 1
	Column   int // from 1, in bytes
	Path     string
	Found    string
	Expected string
}

// String returns the problem on one line.
func (f Problem) String() string {
	return fmt.Sprintf("line %d, column %d, %s: found %s, expected %s", f.Line, f.Column, f.Path, f.Found, f.Expected)
}

// Problems holds all problems of a document, in the order of their positions.
type Problems []Problem

// Error returns the problems, one per line.
func (f Problems) Error() string {
	lines := make([]string, len(f))
	for i, problem := range f {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// asError sorts the problems and returns them as codes.BadSettings, or nil if
// there are none.
func (f Problems) asError() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	return codes.Wrap(codes.BadSettings, f, fmt.Sprintf("%d faults", len(f)))
}
