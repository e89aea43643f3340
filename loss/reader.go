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

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// LineCounter counts log lines for readers that look for some of the events.
type LineCounter struct {
	lines    int
	unparsed int // lines with one of the events that could not be parsed
}

// Lines returns the number of lines that were read.
func (t *LineCounter) Lines() int {
	return t.lines
}

// Unparsed returns the number of lines with one of the reader's events that could not
// be parsed.
func (t *LineCounter) Unparsed() int {
	return t.unparsed
}

// EachLine calls handle with each line of a log. handle must not keep the line; if it
// returns an error, the line counts as unparsed. EachLine returns an error with
// codes.UsageError if a line is too long or the log can't be read.
func (t *LineCounter) EachLine(from io.Reader, handle func(line []byte) error) error {
	count, err := eachLine(from, func(line []byte) {
		if handle(line) != nil {
			t.unparsed++
		}
	})
	t.lines += count
	return err
}

// Reader collects the outcomes of requests from log lines.
type Reader struct {
	LineCounter
	records []Record
	served  []Record
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{}
}

// Read reads all lines of a log and ignores those about other events. Errors are
// those of LineCounter.EachLine.
func (r *Reader) Read(from io.Reader) error {
	return r.EachLine(from, r.line)
}

// eachLine calls handle with each line of a log and returns the number of lines.
func eachLine(from io.Reader, handle func(line []byte)) (count int, err error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		count++
		handle(lines.Bytes())
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

// Served returns the records of requests that were answered in time, in the order in
// which they were read. Only a sample of them is logged.
func (r *Reader) Served() []Record {
	return r.served
}

// outcomes are the events that report the outcome of a request.
var outcomes = []event.ID{event.RequestRefused, event.RequestFailed, event.RequestLate, event.RequestLeft, event.RequestServed}

func (r *Reader) line(line []byte) error {
	if !hasOutcome(line) {
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

// hasOutcome reports whether the line contains the name of an outcome event. This is
// cheaper than parsing every line.
func hasOutcome(line []byte) bool {
	for _, id := range outcomes {
		if bytes.Contains(line, []byte(id.Row().Name)) {
			return true
		}
	}
	return false
}

// lineJSON holds the attributes of the outcome events as entry nodes log them.
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

// parse reads a line in JSON or slog's text format, with any prefix.
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

// LineJSON returns the fields of a log line in JSON or slog's text format as one JSON
// object, without a prefix that the line may have.
func LineJSON(line []byte) []byte {
	if at := bytes.IndexByte(line, '{'); at >= 0 {
		return line[at:]
	}
	return textToJSON(string(line))
}

// textToJSON converts a line of key=value fields to a JSON object.
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
			value, _ = strconv.Unquote(quoted) // can't fail: QuotedPrefix has checked it
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		setField(fields, key, value)
		line = rest
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil // the caller fails to parse it and reports that
	}
	return text
}

// setField sets a field to a value of the type that its text suggests. The dot in a
// key separates a group from a name within it. Request ids and node names remain
// strings even if they read as numbers.
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
	inner, isGroup := fields[group].(map[string]any)
	if !isGroup {
		inner = make(map[string]any)
		fields[group] = inner
	}
	inner[name] = typed
}
