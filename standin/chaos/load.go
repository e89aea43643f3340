package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/standin/site"
)

const (
	chatTokens   = 40
	callTimeout  = 30 * time.Second
	callPause    = 20 * time.Millisecond
	resends      = 5
	resendPause  = 300 * time.Millisecond
	changePause  = 700 * time.Millisecond
	changeWindow = 25 * time.Second
)

// caller sends requests over new connections, so that the balancer spreads them.
type caller struct {
	http *http.Client
}

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}}
}

// answer is what came back.
type answer struct {
	status int
	ran    string
	body   string
	err    error
}

func (c *caller) send(address, path, key string, body []byte) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(reply.HeaderWorkspace, string(site.Workspace))
	if key != "" {
		req.Header.Set(reply.HeaderKey, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, ran: resp.Header.Get(reply.HeaderRan), body: string(text), err: err}
}

func (r *run) count(c *Counts, a answer, right bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case right:
		c.Right++
	case a.ran == "no":
		c.NotRun++
	case a.ran == "yes" && a.status != http.StatusOK:
		c.Ran++
	case a.ran == "unknown":
		c.Unknown++
	default:
		c.Broken++
	}
}

// chat sends chats until ctx ends and checks that each answer is the right one,
// or no client can take it for a whole one.
func (r *run) chat(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		seed := ""
		if n%2 == 0 {
			seed = `"seed":1,`
		}
		body := fmt.Appendf(nil, `{"model":"surtitles","stream":true,%s"max_tokens":%d,"messages":[{"role":"user","content":"line %d of %d"}]}`,
			seed, chatTokens, n, number)
		a := r.http.send(r.site.Balancer(), "/v1/chat/completions", "", body)
		text, done := readEvents(a.body)
		wanted, err := engine.ParseRequest("/v1/chat/completions", body)
		right := err == nil && done && text == engine.Expect(wanted)
		if done && !right {
			r.violate("chat %d of %d got %q", n, number, text)
		}
		if !done && a.err == nil && a.status == http.StatusOK {
			r.violate("chat %d of %d ended cleanly without its end mark", n, number)
		}
		r.count(&r.result.Chats, a, right)
		time.Sleep(callPause)
	}
}

// readEvents returns the text of a stream and whether its end mark came.
func readEvents(body string) (text string, done bool) {
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			return text, false
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

// book makes bookings until ctx ends, half of them with a key and resent when
// the outcome is not known, and checks how often each ran.
func (r *run) book(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		seat := fmt.Sprintf("seat %d of %d", n, number)
		key := ""
		if n%2 == 0 {
			key = fmt.Sprintf("key-%d-%d", number, n)
		}
		r.bookOne(key, seat)
		time.Sleep(callPause)
	}
}

func (r *run) bookOne(key, seat string) {
	const path = "/services/" + string(site.Service) + "/bookings"
	said := "no"
	for i := range resends {
		a := r.http.send(r.site.Balancer(), path, key, []byte(seat))
		right := a.err == nil && a.status == http.StatusOK && a.body == plain.Expect(http.MethodPost, "/bookings", seat)
		if a.err == nil && a.status == http.StatusOK && !right {
			r.violate("booking %q got %q", seat, a.body)
		}
		r.count(&r.result.Bookings, a, right)
		if a.ran != "no" {
			said = "may"
		}
		if right || key == "" || i == resends-1 {
			break
		}
		time.Sleep(resendPause)
	}
	runs := 0
	for _, p := range r.site.Plains() {
		runs += p.Runs(seat)
	}
	if runs > 1 {
		r.violate("booking %q with key %q ran %d times", seat, key, runs)
	}
	if said == "no" && runs > 0 {
		r.violate("booking %q with key %q was said not to have run, and ran", seat, key)
	}
}

// change changes the settings until ctx ends, sends each change twice, and notes
// the highest version that was accepted.
func (r *run) change(ctx context.Context) {
	base := r.accepted
	for n := 0; ctx.Err() == nil; n++ {
		document := fmt.Sprintf("downtime_weight = %d.0\nstranded_weight = 1.0\n", n+2)
		id := fmt.Sprintf("change-%d", n)
		bounded, cancel := context.WithTimeout(context.Background(), changeWindow)
		first, err := r.site.Set(bounded, base, id, "/teams/"+string(site.Team)+"/objective", document)
		if err != nil {
			r.violate("change %d on version %d was not accepted: %v", n, base, err)
			cancel()
			return
		}
		again, err := r.site.Set(bounded, base, id, "/teams/"+string(site.Team)+"/objective", document)
		cancel()
		if err == nil && again.Version != first.Version {
			r.violate("change %d got version %d, its resend %d", n, first.Version, again.Version)
		}
		if first.Version != base+1 {
			r.violate("change %d on version %d got version %d", n, base, first.Version)
		}
		base = first.Version
		r.mu.Lock()
		r.accepted = base
		r.result.Changes++
		r.mu.Unlock()
		time.Sleep(changePause)
	}
}
