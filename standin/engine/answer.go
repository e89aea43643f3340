package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/reply"
)

// answerer writes one answer, streamed or whole.
type answerer struct {
	w      http.ResponseWriter
	flush  func() error
	job    job
	id     string
	seed   uint64
	whole  strings.Builder
	opened bool
}

func newAnswerer(w http.ResponseWriter, j job, load string) *answerer {
	a := &answerer{w: w, flush: http.NewResponseController(w).Flush, job: j, id: j.id, seed: xxhash.Sum64String(j.request.Prompt)}
	if j.plan.wrongID {
		a.id = "other-" + j.id
	}
	w.Header().Set(annc.HeaderLoad, load)
	w.Header().Set(reply.HeaderRequest, a.id)
	return a
}

// token sends the i-th token, or keeps it for a whole answer.
func (a *answerer) token(i int) {
	text := token(a.seed, i)
	if !a.job.request.Stream {
		a.whole.WriteString(text)
		return
	}
	a.event(i, a.chunk(i, text))
	if a.job.plan.twice {
		a.event(i, a.chunk(i, text))
	}
}

// finish sends the end of a stream, or the whole answer.
func (a *answerer) finish() {
	if !a.job.request.Stream {
		a.sendWhole()
		return
	}
	a.event(a.job.request.MaxTokens, a.end())
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	_ = a.flush()
}

// breakOff leaves a part of the answer behind.
func (a *answerer) breakOff() {
	if a.job.request.Stream {
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(a.wholeText())))
	_, _ = a.w.Write(a.wholeText()[:len(a.wholeText())/2])
	_ = a.flush()
}

func (a *answerer) event(number int, body any) {
	if !a.opened {
		a.opened = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // types of this package always marshal
	}
	_, _ = fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", number, text)
	_ = a.flush()
}

func (a *answerer) sendWhole() {
	text := a.wholeText()
	if a.job.plan.twice {
		text = append(text, text...)
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = a.w.Write(text)
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answerer) chunk(i int, text string) completion {
	c := choice{}
	object := "text_completion"
	if a.job.request.Chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return completion{ID: a.id, Object: object, Model: a.job.model, Choices: []choice{c}}
}

func (a *answerer) end() completion {
	c := a.chunk(a.job.request.MaxTokens, "")
	c.Choices[0].FinishReason = stopped()
	c.Usage = a.usage()
	return c
}

func (a *answerer) wholeText() []byte {
	content := a.whole.String()
	c := choice{FinishReason: stopped()}
	object := "text_completion"
	if a.job.request.Chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: content}
	} else {
		c.Text = &content
	}
	text, err := json.Marshal(completion{ID: a.id, Object: object, Model: a.job.model, Choices: []choice{c}, Usage: a.usage()})
	if err != nil {
		panic(err) // types of this package always marshal
	}
	return text
}

func (a *answerer) usage() *usage {
	prompt := promptTokens(a.job.request.Prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: a.job.request.MaxTokens, TotalTokens: prompt + a.job.request.MaxTokens}
}

func stopped() *string {
	reason := "stop"
	return &reason
}
