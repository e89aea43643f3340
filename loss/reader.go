package loss

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// lineMost bounds one log line, in bytes.
const lineMost = 1 << 20

// LineCounter counts the lines of logs, for readers of some of their events.
type LineCounter struct {
	lines int
	bad   int // lines of the events that could not be read
}

// Lines returns how many lines were read.
func (t *LineCounter) Lines() int {
	return t.lines
}

// Unparsed returns how many lines tell of the reader's events but could not be read.
func (t *LineCounter) Unparsed() int {
	return t.bad
}

// EachLine calls take with each line of a log, which it must not keep. A line for which it
// returns an error counts as unread. The error is codes.UsageError for a line that is
// too long.
func (t *LineCounter) EachLine(from io.Reader, take func(line []byte) error) error {
	count, err := eachLine(from, func(line []byte) {
		if take(line) != nil {
			t.bad++
		}
	})
	t.lines += count
	return err
}

// Reader collects what log lines tell of the ends of requests.
type Reader struct {
	LineCounter
	records []Record
	served  []Record
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{}
}

// Read takes all lines of a log. Lines that tell of no loss are passed over.
func (r *Reader) Read(from io.Reader) error {
	return r.EachLine(from, r.line)
}

// eachLine calls take with each line of a log and returns how many there were.
func eachLine(from io.Reader, take func(line []byte)) (count int, err error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 64<<10), lineMost)
	for lines.Scan() {
		count++
		take(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return count, codes.Wrap(codes.UsageError, err, "line "+strconv.Itoa(count+1)+" can't be read")
	}
	return count, nil
}

// Records returns the losses in the order in which they were read.
func (r *Reader) Records() []Record {
	return r.records
}

// Served returns the lines of requests that were answered in time, in the order in
// which they were read.
func (r *Reader) Served() []Record {
	return r.served
}

// outcomes are the events that tell how a request ended.
var outcomes = []event.ID{event.RequestRefused, event.RequestFailed, event.RequestLate, event.RequestLeft, event.RequestServed}

func (r *Reader) line(line []byte) error {
	if !tellsOutcome(line) {
		return nil
	}
	record, err := parse(line)
	switch {
	case err != nil:
		return err
	case record.event == event.RequestServed:
		r.served = append(r.served, record)
	default:
		r.records = append(r.records, record)
	}
	return nil
}

// tellsOutcome looks for an event's name, which is cheaper than to parse all lines.
func tellsOutcome(line []byte) bool {
	for _, id := range outcomes {
		if bytes.Contains(line, []byte(id.Row().Name)) {
			return true
		}
	}
	return false
}

// lineJSON is a line as the nodes write it.
type lineJSON struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	Event     int       `json:"event"`
	Route     string    `json:"route"`
	Target    string    `json:"target"`
	Began     bool      `json:"began"`
	Attempts  int       `json:"attempts"`
	Picked    int64     `json:"picked_ms"`
	Sent      int64     `json:"sent_ms"`
	First     int64     `json:"first_ms"`
	Pause     int64     `json:"pause_ms"`
	Objective int64     `json:"objective_ms"`
	Gap       int64     `json:"gap_ms"`
	Requests  float64   `json:"requests"`
	Slots     float64   `json:"slots"`
	Prompt    int       `json:"prompt"`
	Answer    int       `json:"answer"`
	Of        float64   `json:"of"`
	Error     struct {
		Code int `json:"code"`
	} `json:"error"`
}

// parse reads a line in JSON, or the same in text, with anything before it.
func parse(line []byte) (Record, error) {
	var j lineJSON
	if err := json.Unmarshal(LineJSON(line), &j); err != nil {
		return Record{}, err
	}
	return Record{
		at:        sardine.Millis(j.Time.UnixMilli()),
		node:      j.Node,
		event:     event.ID(j.Event),
		route:     j.Route,
		target:    j.Target,
		code:      codes.Code(j.Error.Code),
		began:     j.Began,
		attempts:  j.Attempts,
		picked:    sardine.Millis(j.Picked),
		sent:      sardine.Millis(j.Sent),
		first:     sardine.Millis(j.First),
		pause:     sardine.Millis(j.Pause),
		objective: sardine.Millis(j.Objective),
		gap:       sardine.Millis(j.Gap),
		requests:  j.Requests,
		slots:     j.Slots,
		prompt:    j.Prompt,
		answer:    j.Answer,
		of:        j.Of,
	}, nil
}

// LineJSON returns the fields of a log line in JSON or text, without what stands
// before them, as one JSON object.
func LineJSON(line []byte) []byte {
	if at := bytes.IndexByte(line, '{'); at >= 0 {
		return line[at:]
	}
	return textToJSON(string(line))
}

// textToJSON turns the fields key=value of a line into JSON.
func textToJSON(line string) []byte {
	if at := strings.Index(line, "time="); at >= 0 {
		line = line[at:]
	}
	fields := make(map[string]any)
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimSpace(line) {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			break
		}
		var value string
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			rest = rest[len(quoted):]
			value, _ = strconv.Unquote(quoted) // QuotedPrefix has checked it
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		setField(fields, key, value)
		line = rest
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil // no JSON, which the caller reports
	}
	return text
}

func setField(fields map[string]any, key, value string) {
	var typed any = value
	if n, err := strconv.ParseFloat(value, 64); err == nil && key != "request" && key != "node" {
		typed = n
	} else if b, err := strconv.ParseBool(value); err == nil {
		typed = b
	}
	group, name, nested := strings.Cut(key, ".")
	if !nested {
		fields[key] = typed
		return
	}
	inner, held := fields[group].(map[string]any)
	if !held {
		inner = make(map[string]any)
		fields[group] = inner
	}
	inner[name] = typed
}
