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

// answerWriter writes one answer, streamed or as a single body.
type answerWriter struct {
	w       http.ResponseWriter
	flush   func() error
	job     job
	id      string
	seed    uint64
	text    strings.Builder // of an answer that is not streamed
	started bool            // the headers of the stream are set
}

func newAnswerWriter(w http.ResponseWriter, j job, load string) *answerWriter {
	a := &answerWriter{w: w, flush: http.NewResponseController(w).Flush, job: j, id: j.id, seed: xxhash.Sum64String(j.request.Prompt)}
	if j.faults.wrongID {
		a.id = "other-" + j.id
	}
	w.Header().Set(annc.HeaderLoad, load)
	w.Header().Set(reply.HeaderRequest, a.id)
	return a
}

// sendToken sends the i-th token, or buffers it if the answer is not streamed.
func (a *answerWriter) sendToken(i int) {
	text := tokenText(a.seed, i)
	if !a.job.request.Stream {
		a.text.WriteString(text)
		return
	}
	a.sendEvent(i, a.chunk(i, text))
	if a.job.faults.twice {
		a.sendEvent(i, a.chunk(i, text))
	}
}

// finish sends the end of a stream, or the complete body.
func (a *answerWriter) finish() {
	if !a.job.request.Stream {
		a.sendBody()
		return
	}
	a.sendEvent(a.job.request.MaxTokens, a.lastChunk())
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	_ = a.flush()
}

// sendPartial sends half of the body if the answer is not streamed. Of a
// stream, earlier tokens have been sent already.
func (a *answerWriter) sendPartial() {
	if a.job.request.Stream {
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(a.bodyText())))
	_, _ = a.w.Write(a.bodyText()[:len(a.bodyText())/2])
	_ = a.flush()
}

func (a *answerWriter) sendEvent(number int, body any) {
	if !a.started {
		a.started = true
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

func (a *answerWriter) sendBody() {
	text := a.bodyText()
	if a.job.faults.twice {
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

func (a *answerWriter) chunk(i int, text string) completion {
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

func (a *answerWriter) lastChunk() completion {
	c := a.chunk(a.job.request.MaxTokens, "")
	c.Choices[0].FinishReason = stopReason()
	c.Usage = a.usage()
	return c
}

func (a *answerWriter) bodyText() []byte {
	content := a.text.String()
	c := choice{FinishReason: stopReason()}
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

func (a *answerWriter) usage() *usage {
	prompt := promptTokens(a.job.request.Prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: a.job.request.MaxTokens, TotalTokens: prompt + a.job.request.MaxTokens}
}

func stopReason() *string {
	reason := "stop"
	return &reason
}
