package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sardineswitch.dev/sardine/codes"
)

// The paths that an engine serves.
const (
	ChatPath     = "/v1/chat/completions"
	CompletePath = "/v1/completions"
)

const (
	defaultTokens = 16
	maxTokens     = 1 << 20
)

// Request holds the fields of a completion request that the stand-in uses.
type Request struct {
	Chat      bool   // sent to ChatPath, otherwise to CompletePath
	Model     string // as named by the caller
	Prompt    string // all messages, or the prompt
	MaxTokens int    // exact number of tokens of the answer
	Stream    bool
}

type requestMessage struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// ParseRequest decodes the body of a request to path.
func ParseRequest(path string, body []byte) (Request, error) {
	var m requestMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return Request{}, codes.Wrap(codes.BadRequest, err, "completion request")
	}
	r := Request{Chat: path == ChatPath, Model: m.Model, Prompt: m.Prompt, MaxTokens: m.MaxTokens, Stream: m.Stream}
	if r.Chat {
		var b strings.Builder
		for _, message := range m.Messages {
			b.WriteString(message.Role + ": " + message.Content + "\n")
		}
		r.Prompt = b.String()
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultTokens
	}
	if r.Prompt == "" || r.MaxTokens < 0 || r.MaxTokens > maxTokens {
		return Request{}, codes.New(codes.BadRequest, "completion request: expected a prompt and max_tokens from 1 to %d", maxTokens)
	}
	return r, nil
}

// Expect returns the complete text of the correct answer to r. It depends only
// on the prompt and the number of tokens.
func Expect(r Request) string {
	var b strings.Builder
	seed := xxhash.Sum64String(r.Prompt)
	for i := range r.MaxTokens {
		b.WriteString(tokenText(seed, i))
	}
	return b.String()
}

// tokenText returns the i-th token. It does not depend on earlier tokens, so
// that an answer can be resumed at any token.
func tokenText(seed uint64, i int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "." + strconv.Itoa(i))
	return "t" + strconv.FormatUint(sum&0xfffff, 36) + " "
}

// promptTokens counts each word of the prompt as a token.
func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
