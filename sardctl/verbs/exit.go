package verbs

import (
	"errors"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// Exit is the program's exit code.
type Exit int

// The exit codes.
const (
	ExitDone           Exit = 0
	ExitFailed         Exit = 1
	ExitUsage          Exit = 2
	ExitRefused        Exit = 3
	ExitRace           Exit = 4
	ExitUnreachable    Exit = 5
	ExitNotConfirmed   Exit = 6
	ExitChangeHeld     Exit = 7
	ExitUnhealthy      Exit = 8
	ExitOutcomeUnknown Exit = 9
)

// ExitRow describes one exit code.
type ExitRow struct {
	Exit    Exit
	Meaning string
	Codes   []codes.Code // result codes that map to it
}

// Exits returns the table of exit codes.
func Exits() []ExitRow {
	return []ExitRow{
		{ExitDone, "done", nil},
		{ExitFailed, "failed for another reason, see the message", nil},
		{ExitUsage, "the command line is not valid", []codes.Code{codes.UsageError}},
		{ExitRefused, "refused: settings, path, token or name are not valid", []codes.Code{
			codes.BadSettings, codes.UnknownPath, codes.BadRequest, codes.UnknownMember, codes.KeyRefused, codes.ScopeRefused, codes.TooLarge,
		}},
		{ExitRace, "another change came first; nothing was changed", []codes.Code{codes.VersionRace, codes.MemberBusy}},
		{ExitUnreachable, "no control node leads or answers; nothing was changed", []codes.Code{codes.NoQuorum, codes.NotLeader}},
		{ExitNotConfirmed, "not confirmed; nothing was changed", nil},
		{ExitChangeHeld, "the change is durable but not yet in force everywhere", []codes.Code{codes.ChangeHeld}},
		{ExitUnhealthy, "status, doctor: a promise is not held or a finding needs a person", nil},
		{ExitOutcomeUnknown, "the answer was lost; the change may have been made", []codes.Code{codes.OutcomeUnknown}},
	}
}

// exitError is an error with an exit code of its own.
type exitError struct {
	exit Exit
	text string
}

func (e *exitError) Error() string {
	return e.text
}

// ExitOf returns the exit code of a command that returned err.
func ExitOf(err error) Exit {
	if err == nil {
		return ExitDone
	}
	var own *exitError
	if errors.As(err, &own) {
		return own.exit
	}
	code := codes.Of(err)
	for _, row := range Exits() {
		for _, c := range row.Codes {
			if c == code {
				return row.Exit
			}
		}
	}
	return ExitFailed
}

// ErrorText returns what sardctl prints for an error: what went wrong and what to
// do.
func ErrorText(err error) string {
	var own *exitError
	if errors.As(err, &own) && own.text == "" {
		return ""
	}
	text := "sardctl: " + err.Error() + "\n"
	var coded *codes.Error
	if !errors.As(err, &coded) {
		return text
	}
	if remedy := coded.Code().Row().Remedy; remedy != "" && remedy != "nothing" {
		text += "sardctl: what to do: " + remedy + "\n"
	}
	return text
}

func usageError(err error, message string) error {
	return codes.Wrap(codes.UsageError, err, message)
}

func trimNewline(text string) string {
	return strings.TrimRight(text, "\r\n")
}
