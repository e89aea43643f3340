// Package pledge sends chats, bookings and changes of settings to a site that
// something else breaks, and checks from outside what was promised for each: whole
// and right answers, bookings that run at most once, changes that stay.
package pledge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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
	chatters     = 8
	bookers      = 4
)

// bookingPath takes bookings of the demo team's plain service.
const bookingPath = "/services/" + string(site.Service) + "/bookings"

// Scene is the site that the load runs on.
type Scene interface {
	// Balancer returns the address for callers.
	Balancer() string
	// Runs returns how often the plain targets ran a booking.
	Runs(seat string) int
	// Set changes the demo team's settings and returns the new version.
	Set(ctx context.Context, base uint64, changeID, path, document string) (version uint64, err error)
}

// Counts are the outcomes of one kind of request.
type Counts struct {
	Right   int `json:"right"`
	NotRun  int `json:"not_run"`
	Ran     int `json:"ran"` // ended with an error after it ran, at least in part
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"` // no answer that says more
}

// Result is what a load saw.
type Result struct {
	Chats      Counts
	Bookings   Counts
	Changes    int // accepted
	Violations []string
}

// Load runs on one scene. It is safe for concurrent use.
type Load struct {
	scene Scene
	http  *caller

	mu       sync.Mutex
	result   Result
	accepted uint64 // highest settings version that was accepted
}

// NewLoad returns a load on a site whose settings have a version.
func NewLoad(s Scene, accepted uint64) *Load {
	return &Load{scene: s, http: newCaller(), accepted: accepted, result: Result{Violations: []string{}}}
}

// Run sends requests until ctx ends.
func (r *Load) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range chatters {
		group.Go(func() { r.chat(ctx, i) })
	}
	for i := range bookers {
		group.Go(func() { r.book(ctx, i) })
	}
	group.Go(func() { r.change(ctx) })
	group.Wait()
}

// Result returns what was seen so far.
func (r *Load) Result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	out.Violations = append([]string{}, out.Violations...)
	return out
}

// Accepted returns the highest settings version that was accepted.
func (r *Load) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Violate notes a broken promise.
func (r *Load) Violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

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

func (r *Load) count(c *Counts, a answer, right bool) {
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
func (r *Load) chat(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		seed := ""
		if n%2 == 0 {
			seed = `"seed":1,`
		}
		body := fmt.Appendf(nil, `{"model":"surtitles","stream":true,%s"max_tokens":%d,"messages":[{"role":"user","content":"line %d of %d"}]}`,
			seed, chatTokens, n, number)
		a := r.http.send(r.scene.Balancer(), "/v1/chat/completions", "", body)
		text, done := readEvents(a.body)
		wanted, err := engine.ParseRequest("/v1/chat/completions", body)
		right := err == nil && done && text == engine.Expect(wanted)
		if done && !right {
			r.Violate("chat %d of %d got %q", n, number, text)
		}
		if !done && a.err == nil && a.status == http.StatusOK {
			r.Violate("chat %d of %d ended cleanly without its end mark", n, number)
		}
		r.count(&r.result.Chats, a, right)
		time.Sleep(callPause)
	}
}

// Serves reports whether a chat and a booking are answered now.
func (r *Load) Serves() bool {
	body := fmt.Appendf(nil, `{"model":"surtitles","stream":true,"seed":1,"max_tokens":2,"messages":[{"role":"user","content":"probe"}]}`)
	a := r.http.send(r.scene.Balancer(), "/v1/chat/completions", "", body)
	if _, done := readEvents(a.body); a.err != nil || !done {
		return false
	}
	a = r.http.send(r.scene.Balancer(), bookingPath, "", []byte("probe"))
	return a.err == nil && a.status == http.StatusOK
}

// BookTwice plants a defect: it sends one booking twice without a key, as a system
// would that repeats what may have run.
func (r *Load) BookTwice() {
	const seat = "a seat that is booked twice"
	for range 2 {
		r.http.send(r.scene.Balancer(), bookingPath, "", []byte(seat))
	}
	r.checkRuns(seat, "", false)
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
func (r *Load) book(ctx context.Context, number int) {
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

func (r *Load) bookOne(key, seat string) {
	saidNo := true
	for i := range resends {
		a := r.http.send(r.scene.Balancer(), bookingPath, key, []byte(seat))
		right := a.err == nil && a.status == http.StatusOK && a.body == plain.Expect(http.MethodPost, "/bookings", seat)
		if a.err == nil && a.status == http.StatusOK && !right {
			r.Violate("booking %q got %q", seat, a.body)
		}
		r.count(&r.result.Bookings, a, right)
		if a.ran != "no" {
			saidNo = false
		}
		if right || key == "" || i == resends-1 {
			break
		}
		time.Sleep(resendPause)
	}
	r.checkRuns(seat, key, saidNo)
}

// checkRuns checks how often a booking ran.
func (r *Load) checkRuns(seat, key string, saidNo bool) {
	runs := r.scene.Runs(seat)
	if runs > 1 {
		r.Violate("booking %q with key %q ran %d times", seat, key, runs)
	}
	if saidNo && runs > 0 {
		r.Violate("booking %q with key %q was said not to have run, and ran", seat, key)
	}
}

// change changes the settings until ctx ends, sends each change twice, and notes
// the highest version that was accepted.
func (r *Load) change(ctx context.Context) {
	base := r.Accepted()
	for n := 0; ctx.Err() == nil; n++ {
		document := fmt.Sprintf("downtime_weight = %d.0\nstranded_weight = 1.0\n", n+2)
		id := fmt.Sprintf("change-%d", n)
		bounded, cancel := context.WithTimeout(context.Background(), changeWindow)
		first, err := r.scene.Set(bounded, base, id, "/teams/"+string(site.Team)+"/objective", document)
		if err != nil {
			r.Violate("change %d on version %d was not accepted: %v", n, base, err)
			cancel()
			return
		}
		again, err := r.scene.Set(bounded, base, id, "/teams/"+string(site.Team)+"/objective", document)
		cancel()
		if err == nil && again != first {
			r.Violate("change %d got version %d, its resend %d", n, first, again)
		}
		if first != base+1 {
			r.Violate("change %d on version %d got version %d", n, base, first)
		}
		base = first
		r.mu.Lock()
		r.accepted = base
		r.result.Changes++
		r.mu.Unlock()
		time.Sleep(changePause)
	}
}
