package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// errWaits is the error of a read for which a server has sent nothing.
var errWaits = errors.New("waits for more")

// openSource is a connection that stays open after a text.
type openSource struct {
	text string
	step int // bytes of a read at most
}

func (s *openSource) Read(p []byte) (int, error) {
	if s.text == "" {
		return 0, errWaits
	}
	n := copy(p[:min(len(p), s.step)], s.text)
	s.text = s.text[n:]
	return n, nil
}

// TestAnswers runs scripts of answers. A result "waits for more" would last until the
// request's deadline. Each answer is read byte by byte, too, with the same result.
func TestAnswers(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			method := http.MethodPost
			if d.HasArg("method") {
				d.ScanArgs(t, "method", &method)
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				text := unescape.Replace(line)
				whole, single := read(method, &openSource{text: text, step: len(text)}), read(method, &openSource{text: text, step: 1})
				if whole != single {
					t.Errorf("%s: %s: %s, and %s byte by byte", d.Pos, line, whole, single)
				}
				out.WriteString(whole + "\n")
			}
			return out.String()
		})
	})
}

// unescape replaces the escapes in a script.
var unescape = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t", `\0`, "\x00", `\a`, "\a", `\d`, "\x7f", `\e`, "\xe9")

// read returns the final answer or an error as text.
func read(method string, source io.Reader) string {
	resp, err := NewReader(source).Next(method)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprintf("%d %q", resp.StatusCode, body)
	for _, name := range []string{"X", "X-Odd"} {
		if value := resp.Header.Get(name); value != "" {
			text += fmt.Sprintf(", %s: %q", name, value)
		}
	}
	if err != nil {
		text += ", " + err.Error()
	}
	return text
}

// FuzzNext guards against a head that the parser reads differently than the check: it must
// read just the bytes that were checked.
func FuzzNext(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200\nX:\n\tb\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if text == "" || len(text) > bufferBytes {
			return
		}
		r := NewReader(&openSource{text: text, step: len(text)})
		resp, err := r.Next(http.MethodPost)
		if err != nil {
			return
		}
		if left := r.buffer.Buffered(); r.bytes+left != len(text) {
			t.Errorf("%d bytes were checked and %d of %d are left", r.bytes, left, len(text))
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if !isToken(name) {
				t.Errorf("name %q", name)
			}
		}
	})
}
