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
