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

// Request is what the stand-in reads of a completion request.
type Request struct {
	Chat      bool   // by ChatPath, else by CompletePath
	Model     string // as the caller named it
	Prompt    string // all messages, or the prompt
	MaxTokens int    // tokens of the answer
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

// ParseRequest reads the body of a request to path.
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

// Expect returns the whole text that an engine answers to r. It depends on the
// prompt and the number of tokens only.
func Expect(r Request) string {
	var b strings.Builder
	seed := xxhash.Sum64String(r.Prompt)
	for i := range r.MaxTokens {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// token returns the i-th token, so that an answer can be resumed anywhere.
func token(seed uint64, i int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "." + strconv.Itoa(i))
	return "t" + strconv.FormatUint(sum&0xfffff, 36) + " "
}

func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
