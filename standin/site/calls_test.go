package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/engine"
)

// testLimit is the timeout of each wait of the tests. It is far longer than any
// of them should take, so it does not check speed.
const testLimit = 30 * time.Second

// startSite starts a site with the demo team's settings and waits until every
// entry node routes to its groups and plain targets.
func startSite(t *testing.T, groups, size int, options ...Option) *Site {
	t.Helper()
	options = append([]Option{
		WithControlTiming(func(c *ctrl.Timing) { c.TargetGrace = sardine.Second }),
		WithEntryTiming(func(e *entry.Timing) { e.BalancerDelay = 200 }),
	}, options...)
	s, err := Start(options...)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err = s.Set(ctx, 0, "first", "/teams/"+string(Team), Document(groups, size))
	require.NoError(t, err)
	_, err = s.AwaitServing(testLimit, groups, s.settings.plains)
	require.NoError(t, err)
	return s
}

// chat is the result of a streamed chat request.
type chat struct {
	status  int
	text    string
	done    bool // the end marker was received
	problem problem
	err     error // the connection broke
}

// problem is the part of an error answer that the tests check.
type problem struct {
	Name string `json:"name"`
	Ran  string `json:"ran"`
}

func chatBody(prompt string, tokens int, seeded bool) []byte {
	seed := ""
	if seeded {
		seed = `"seed":1,`
	}
	return fmt.Appendf(nil, `{"model":"surtitles","stream":true,%s"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, seed, tokens, prompt)
}

func post(t *testing.T, address, path, key string, body []byte) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(reply.HeaderWorkspace, string(Workspace))
	if key != "" {
		req.Header.Set(reply.HeaderIdempotencyKey, key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testLimit}).Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func sendChat(t *testing.T, address string, body []byte) chat {
	t.Helper()
	resp := post(t, address, "/v1/chat/completions", "", body)
	text, err := io.ReadAll(resp.Body)
	c := chat{status: resp.StatusCode, err: err}
	if resp.StatusCode != http.StatusOK {
		require.NoError(t, json.Unmarshal(text, &c.problem), string(text))
		return c
	}
	readChat(t, string(text), &c)
	return c
}

func readChat(t *testing.T, text string, c *chat) {
	t.Helper()
	failed := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		failed = failed || line == "event: error"
		data, found := strings.CutPrefix(line, "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			c.done = true
		case failed:
			require.NoError(t, json.Unmarshal([]byte(data), &c.problem))
		default:
			c.text += contentOf(t, data)
		}
	}
}

func contentOf(t *testing.T, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(data), &chunk), data)
	text := ""
	for _, c := range chunk.Choices {
		text += c.Delta.Content
	}
	return text
}

// expectedAnswer returns the correct answer to a chat request body.
func expectedAnswer(t *testing.T, body []byte) string {
	t.Helper()
	r, err := engine.ParseRequest("/v1/chat/completions", body)
	require.NoError(t, err)
	return engine.Expect(r)
}

// rankZero returns the engine of rank 0 of a serving group, which receives the
// group's requests.
func (s *Site) rankZero(t *testing.T, group int) *engine.Engine {
	t.Helper()
	serving := s.Serving()
	require.Greater(t, len(serving), group)
	return s.engines[s.EngineIndex(serving[group].Members[0])]
}
