package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/standin/site"
)

// answer is the response that a caller received.
type answer struct {
	status     int
	text       string
	complete   bool // the stream's end mark was received, or the body was read to its end
	firstToken time.Duration
	ran        string // whether the request ran, as an error response reports it
}

// caller sends requests as an ordinary client of the site.
type caller struct {
	http *http.Client
}

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      int           `json:"seed"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// chat sends a streaming chat request and reports whether the answer is the
// expected one.
func (c *caller) chat(ctx context.Context, address, prompt string, tokens int) (answer, bool, error) {
	body, err := json.Marshal(chatBody{
		Model:     "surtitles",
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens,
		Stream:    true,
	})
	if err != nil {
		return answer{}, false, err
	}
	started := time.Now()
	resp, err := c.post(ctx, address, "/v1/chat/completions", "", body)
	if err != nil {
		return answer{}, false, err
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, ran: resp.Header.Get(reply.HeaderRan)}
	if resp.StatusCode != http.StatusOK {
		return a, false, nil
	}
	err = readEvents(resp.Body, started, &a)
	wanted, parseErr := engine.ParseRequest("/v1/chat/completions", body)
	if parseErr != nil {
		return a, false, parseErr
	}
	return a, a.complete && a.text == engine.Expect(wanted), err
}

// readEvents reads an event stream up to its end mark.
func readEvents(from io.Reader, started time.Time, a *answer) error {
	var text strings.Builder
	defer func() { a.text = text.String() }()
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			return nil
		}
		var chunk chunkBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			if a.firstToken == 0 {
				a.firstToken = time.Since(started)
			}
			text.WriteString(choice.Delta.Content)
		}
	}
	return lines.Err()
}

// book makes a booking, which must run at most once, and reports whether the
// answer is the expected one.
func (c *caller) book(ctx context.Context, address, key, seat string) (answer, bool, error) {
	resp, err := c.post(ctx, address, "/services/"+string(site.Service)+"/bookings", key, []byte(seat))
	if err != nil {
		return answer{}, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, text: string(body), complete: err == nil, ran: resp.Header.Get(reply.HeaderRan)}
	return a, a.text == plain.Expect(http.MethodPost, "/bookings", seat), err
}

func (c *caller) post(ctx context.Context, address, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(reply.HeaderWorkspace, string(site.Workspace))
	if key != "" {
		req.Header.Set(reply.HeaderIdempotencyKey, key)
	}
	return c.http.Do(req)
}
