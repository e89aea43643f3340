package annc

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Bounds of the interval that an entry node may request.
const (
	MinInterval sardine.Millis = 50
	MaxInterval sardine.Millis = 60 * sardine.Second
)

// Answer is an entry node's answer to an announcement.
type Answer struct {
	home     string
	interval sardine.Millis
}

// NewAnswer returns an answer that asks the target to announce itself to home
// (host:port, empty for the address it used) every interval.
func NewAnswer(home string, interval sardine.Millis) Answer {
	return Answer{home: home, interval: interval}
}

// Home returns where to send the next announcements, empty for no change.
func (a Answer) Home() string {
	return a.home
}

// Interval returns the time between announcements.
func (a Answer) Interval() sardine.Millis {
	return a.interval
}

type answerMessage struct {
	Home           string `json:"home"`
	IntervalMillis int64  `json:"interval_ms"`
}

// EncodeAnswer returns the JSON form of a.
func EncodeAnswer(a Answer) []byte {
	return mustMarshal(answerMessage{Home: a.home, IntervalMillis: int64(a.interval)})
}

// DecodeAnswer decodes an answer. Errors have the code codes.AnswerInvalid.
func DecodeAnswer(text []byte) (Answer, error) {
	var m answerMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return Answer{}, codes.Wrap(codes.AnswerInvalid, err, "answer to an announcement")
	}
	a := Answer{home: m.Home, interval: sardine.Millis(m.IntervalMillis)}
	if a.home != "" && !validAddress(a.home) {
		return Answer{}, codes.New(codes.AnswerInvalid, "answer to an announcement: home: found %q, expected IP number and port", a.home)
	}
	if a.interval < MinInterval || a.interval > MaxInterval {
		return Answer{}, codes.New(codes.AnswerInvalid, "answer to an announcement: interval_ms: found %d, expected %d to %d", a.interval, MinInterval, MaxInterval)
	}
	return a, nil
}

// HeaderLoad is the header in which a target reports its load with each of its
// answers.
const HeaderLoad = "X-Sardine-Load"

// HeaderLimit is the header in which a target states, with each of its answers, the
// requests per second that it takes from all entry nodes together.
const HeaderLimit = "X-Sardine-Limit"

// FormatLoad returns the value of HeaderLoad, such as
// "running=3;queued=0;tps=120.5".
func FormatLoad(l sardine.Load) string {
	return fmt.Sprintf("running=%d;queued=%d;tps=%.1f", l.Running, l.Queued, finiteOrZero(l.TokensPerSecond))
}

// ParseLoad parses the value of HeaderLoad. It ignores unknown keys. Errors have the
// code codes.AnswerInvalid.
func ParseLoad(text string) (sardine.Load, error) {
	var l sardine.Load
	for part := range strings.SplitSeq(text, ";") {
		key, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found {
			return sardine.Load{}, codes.New(codes.AnswerInvalid, "%s: found %q, expected key=value", HeaderLoad, part)
		}
		if err := setLoad(&l, key, value); err != nil {
			return sardine.Load{}, codes.Wrap(codes.AnswerInvalid, err, HeaderLoad)
		}
	}
	m := message{Load: load{Running: l.Running, Queued: l.Queued, TokensPerSecond: l.TokensPerSecond}}
	if err := m.checkLoad(); err != nil || finiteOrZero(l.TokensPerSecond) != l.TokensPerSecond {
		return sardine.Load{}, codes.New(codes.AnswerInvalid, "%s: found %q, out of range", HeaderLoad, text)
	}
	return l, nil
}

func setLoad(l *sardine.Load, key, value string) error {
	var err error
	switch key {
	case "running":
		l.Running, err = strconv.Atoi(value)
	case "queued":
		l.Queued, err = strconv.Atoi(value)
	case "tps":
		l.TokensPerSecond, err = strconv.ParseFloat(value, 64)
	}
	return err
}
