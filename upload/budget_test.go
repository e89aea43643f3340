package upload

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
)

// script is a budget without background work, and the bodies of a test by name.
type script struct {
	budget      *Budget
	clock       *clock.Virtual
	bodies      map[string]*Body
	waiters     map[string]*waiter
	heads       map[string]*Head
	interrupted []string // names of bodies
}

func newScript() *script {
	c := clock.NewVirtual(0)
	s := &script{budget: NewBudget(c, 1<<20), clock: c, bodies: map[string]*Body{}, waiters: map[string]*waiter{}, heads: map[string]*Head{}}
	return s
}

// run runs one command of the form "verb name number" and returns what it shows.
func (s *script) run(line string) string {
	var verb, name string
	var number int64
	s.budget.sweeping = true                      // the script sweeps and collects by itself
	_, _ = fmt.Sscan(line, &verb, &name, &number) // some commands have fewer words
	y := s.bodies[name]
	if y == nil {
		y = &Body{budget: s.budget, interrupt: func() { s.interrupted = append(s.interrupted, name) }}
		s.bodies[name] = y
	}
	if out, isHeader := s.runHeader(verb, name, number); isHeader {
		return out
	}
	switch verb {
	case "reserve":
		w, err := s.budget.enqueue(y, number<<10)
		s.waiters[name] = w
		if err != nil {
			return codes.Of(err).Name()
		}
		return s.state(name)
	case "receive":
		s.budget.received(y, int(number<<10))
	case "complete":
		s.budget.complete(y, number<<10)
	case "release":
		y.Release()
	case "leave":
		return fmt.Sprint(s.budget.leave(s.waiters[name]))
	case "state":
		return s.state(name)
	case "advance":
		_, _ = fmt.Sscan(name, &number)
		s.clock.Advance(sardine.Millis(number))
	case "sweep":
		s.interrupted = nil
		s.budget.sweep()
		return fmt.Sprintf("interrupted %v", s.interrupted)
	case "collect":
		s.budget.collect()
	}
	return fmt.Sprintf("used %d, garbage %d, waiting %d", s.budget.used>>10, s.budget.garbage>>10, s.budget.waiting)
}

// runHeader runs a command about a header.
func (s *script) runHeader(verb, name string, number int64) (out string, isHeader bool) {
	h := s.heads[name]
	if h == nil {
		h = s.budget.NewHead()
		s.heads[name] = h
	}
	fits := true
	switch verb {
	case "header_begins":
		h.Begin(number << 10)
	case "header_lines": // of five bytes
		fits = h.Receive(bytes.Repeat([]byte("a:b\r\n"), int(number)))
	case "header_text": // one line
		fits = h.Receive(bytes.Repeat([]byte("n"), int(number<<10)))
	case "header_bytes": // one at a time, then a body of 4 KiB
		for _, x := range []byte("GET / HTTP/1.1\r\na: b\r\n\r\n") {
			fits = fits && h.Receive([]byte{x})
		}
		fits = fits && h.Receive(bytes.Repeat([]byte{'\n'}, 4<<10))
	case "http2":
		fits = h.Receive(http2Preface)
	case "header_ends":
		h.End()
	default:
		return "", false
	}
	return fmt.Sprintf("fits %v, receiving %v, used %d", fits, h.Receiving(), s.budget.used>>10), true
}

func (s *script) state(name string) string {
	if w := s.waiters[name]; w != nil {
		select {
		case <-w.granted:
		default:
			return "waits"
		}
	}
	return fmt.Sprintf("has %d", s.bodies[name].reserved>>10)
}

// TestBudget plays scripts on a budget of 1 MiB; sizes are in KiB.
func TestBudget(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			s := newScript()
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				line = strings.TrimSpace(line)
				fmt.Fprintf(&out, "%s: %s\n", line, s.run(line))
			}
			return out.String()
		})
	})
}

// TestReadReturnsTheBody reads bodies of all sizes around the steps of the buffer, with and
// without a length, and checks that a longer one is refused and that all memory is returned.
func TestReadReturnsTheBody(t *testing.T) {
	const limit = 300 << 10
	b := NewBudget(clock.NewReal(), 4<<20)
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, mediumBuffer, mediumBuffer + 1, 2 * mediumBuffer, limit, limit + 1, 2 * limit} {
		for _, known := range []bool{true, false} {
			text := bytes.Repeat([]byte("x"), size)
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(iotest.HalfReader(bytes.NewReader(text))))
			r.ContentLength = -1
			if known {
				r.ContentLength = int64(size)
			}
			y, err := b.Read(httptest.NewRecorder(), r, limit, sardine.Second)
			if size > limit {
				require.Equal(t, codes.TooLarge, codes.Of(err), "%d %v", size, known)
			} else {
				require.NoError(t, err, "%d %v", size, known)
				require.Equal(t, text, append([]byte{}, y.Bytes()...), "%d %v", size, known)
				y.Release()
			}
			require.Zero(t, b.Used(), "%d %v", size, known)
		}
	}
}
