package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
)

const maxAnswerBytes = 64 << 20

type chatBody struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sendChat sends one chat request and checks the answer.
func (l *Load) sendChat(ctx context.Context, i int, stream bool) outcome {
	body, err := json.Marshal(chatBody{
		Model: l.settings.service, MaxTokens: l.settings.tokens, Stream: stream,
		Messages: []chatMessage{{Role: "user", Content: l.promptText(i)}},
	})
	if err != nil {
		return outcome{verdict: verdictIncomplete, reason: err.Error()}
	}
	wanted, err := engine.ParseRequest(engine.ChatPath, body)
	if err != nil {
		return outcome{verdict: verdictIncomplete, reason: err.Error()}
	}
	started := time.Now()
	answer, err := l.post(ctx, engine.ChatPath, body, "application/json", "")
	if err != nil {
		return unanswered(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	if stream {
		return checkStream(answer.Body, engine.Expect(wanted), started)
	}
	return checkWhole(answer.Body, engine.Expect(wanted), started)
}

// sendPlain sends one booking, with an idempotency key of its own.
func (l *Load) sendPlain(ctx context.Context, i int) outcome {
	path := "/services/" + l.settings.service + l.settings.plainPath
	started := time.Now()
	answer, err := l.post(ctx, path, []byte(l.promptText(i)), "text/plain", fmt.Sprintf("load-%d-%d", l.settings.seed, i))
	if err != nil {
		return unanswered(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return outcome{verdict: verdictIncomplete, reason: errorReason(err)}
	}
	o := outcome{verdict: verdictCorrect, total: time.Since(started)}
	if string(text) != plain.Expect(http.MethodPost, l.settings.plainPath, l.promptText(i)) {
		o.verdict = verdictWrong
	}
	return o
}

func (l *Load) post(ctx context.Context, path string, body []byte, contentType, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.settings.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("X-Sardine-Workspace", l.settings.workspace)
	if l.settings.token != "" {
		request.Header.Set("Authorization", "Bearer "+l.settings.token)
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return l.http.Do(request)
}

// unanswered returns the outcome of a request without an answer. Only a request
// whose connection failed to open certainly did not run.
func unanswered(err error) outcome {
	o := outcome{verdict: verdictIncomplete, reason: errorReason(err)}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		o.ran = sardine.RanNo.String()
	}
	return o
}

// refusal returns the outcome of an error answer, with the problem's name or code
// and whether the request ran.
func refusal(answer *http.Response) outcome {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes)) // a truncated body has no code
	var problem struct {
		Code json.RawMessage `json:"code"`
		Name string          `json:"name"`
		Ran  string          `json:"ran"`
	}
	_ = json.Unmarshal(text, &problem) // a body that is no JSON object has no code either
	reason := problem.Name
	if reason == "" {
		reason = strings.Trim(string(problem.Code), `"`)
	}
	if reason == "" {
		reason = fmt.Sprintf("status %d", answer.StatusCode)
	}
	ran := problem.Ran
	if ran == "" {
		ran = answer.Header.Get(reply.HeaderRan)
	}
	return outcome{verdict: verdictRefused, reason: reason, ran: ran}
}

type chatChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
}

// checkStream reads server-sent events up to the end marker. A stream without the
// marker is incomplete; one with the marker but another text is wrong.
func checkStream(body io.Reader, wanted string, started time.Time) outcome {
	o := outcome{verdict: verdictIncomplete, reason: "stream without an end"}
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(io.LimitReader(body, maxAnswerBytes))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			o.total, o.verdict, o.reason = time.Since(started), verdictCorrect, ""
			if text.String() != wanted {
				o.verdict = verdictWrong
			}
			return o
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			o.reason = "error frame"
			continue
		}
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			o.first = now.Sub(started)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return o
}

// checkWhole checks an answer that is not streamed.
func checkWhole(body io.Reader, wanted string, started time.Time) outcome {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return outcome{verdict: verdictIncomplete, reason: errorReason(err)}
	}
	o := outcome{verdict: verdictWrong, total: time.Since(started)}
	var c chatChunk
	if json.Unmarshal(text, &c) == nil && len(c.Choices) == 1 && c.Choices[0].Message.Content == wanted {
		o.verdict = verdictCorrect
	}
	return o
}

// errorReason returns the text of an error without addresses, so that errors with
// the same cause are counted together.
func errorReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	for unwrapped := errors.Unwrap(err); unwrapped != nil; unwrapped = errors.Unwrap(err) {
		err = unwrapped
	}
	return err.Error()
}
