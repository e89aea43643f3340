// Package pledge sends chats, bookings and changes of settings to a site into
// which another package injects faults, and checks the guarantees for each
// from outside: complete and correct answers, bookings that run at most once,
// settings changes that are kept.
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
	chatTokens     = 40
	callTimeout    = 30 * time.Second
	callInterval   = 20 * time.Millisecond
	maxSends       = 5
	resendDelay    = 300 * time.Millisecond
	changeInterval = 700 * time.Millisecond
	changeTimeout  = 25 * time.Second
	chatWorkers    = 8
	bookingWorkers = 4
)

// bookingPath is the path for bookings of the demo team's plain service.
const bookingPath = "/services/" + string(site.Service) + "/bookings"

// Site is the site that receives the load.
type Site interface {
	// Balancer returns the address of the load balancer, which callers use.
	Balancer() string
	// Runs returns how often the plain targets ran the booking of a seat.
	Runs(seat string) int
	// Set stores a settings document at path on top of version base and
	// returns the new version.
	Set(ctx context.Context, base uint64, changeID, path, document string) (version uint64, err error)
}

// Counts are the numbers of requests of one kind by outcome.
type Counts struct {
	Correct    int `json:"right"`
	NotRun     int `json:"not_run"`
	Ran        int `json:"ran"` // failed after they ran, at least in part
	Unknown    int `json:"unknown"`
	Incomplete int `json:"broken"` // no correct answer and no reported outcome
}

// Result holds what a load has observed so far.
type Result struct {
	Chats      Counts
	Bookings   Counts
	Changes    int // accepted
	Violations []string
}

// Load sends requests to one site and checks the answers. It is safe for
// concurrent use.
type Load struct {
	site   Site
	caller *caller

	mu       sync.Mutex
	result   Result
	accepted uint64 // highest accepted version of the settings
}

// NewLoad returns a load for a site whose settings have the version accepted.
func NewLoad(s Site, accepted uint64) *Load {
	return &Load{site: s, caller: newCaller(), accepted: accepted, result: Result{Violations: []string{}}}
}

// Run sends requests until ctx ends.
func (r *Load) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range chatWorkers {
		group.Go(func() { r.sendChats(ctx, i) })
	}
	for i := range bookingWorkers {
		group.Go(func() { r.sendBookings(ctx, i) })
	}
	group.Go(func() { r.sendChanges(ctx) })
	group.Wait()
}

// Result returns what has been observed so far.
func (r *Load) Result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	out.Violations = append([]string{}, out.Violations...)
	return out
}

// Accepted returns the highest accepted version of the settings.
func (r *Load) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// RecordViolation records the violation of a guarantee.
func (r *Load) RecordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

// caller sends each request over a new connection, so that the balancer spreads
// them.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}}
}

// answer is the answer to a request, or the error.
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
		req.Header.Set(reply.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, ran: resp.Header.Get(reply.HeaderRan), body: string(text), err: err}
}

// count adds the outcome of a request to c.
func (r *Load) count(c *Counts, a answer, correct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case correct:
		c.Correct++
	case a.ran == "no":
		c.NotRun++
	case a.ran == "yes" && a.status != http.StatusOK:
		c.Ran++
	case a.ran == "unknown":
		c.Unknown++
	default:
		c.Incomplete++
	}
}

// sendChats sends chats until ctx ends and checks that each answer is correct,
// or that a client can recognise it as incomplete.
func (r *Load) sendChats(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		seed := ""
		if n%2 == 0 {
			seed = `"seed":1,`
		}
		body := fmt.Appendf(nil, `{"model":"surtitles","stream":true,%s"max_tokens":%d,"messages":[{"role":"user","content":"line %d of %d"}]}`,
			seed, chatTokens, n, worker)
		a := r.caller.send(r.site.Balancer(), "/v1/chat/completions", "", body)
		text, done := readEvents(a.body)
		request, err := engine.ParseRequest("/v1/chat/completions", body)
		correct := err == nil && done && text == engine.Expect(request)
		if done && !correct {
			r.RecordViolation("chat %d of worker %d received the wrong answer %q", n, worker, text)
		}
		if !done && a.err == nil && a.status == http.StatusOK {
			r.RecordViolation("chat %d of worker %d ended cleanly without its end marker", n, worker)
		}
		r.count(&r.result.Chats, a, correct)
		time.Sleep(callInterval)
	}
}

// Serves reports whether a chat and a booking succeed now.
func (r *Load) Serves() bool {
	body := fmt.Appendf(nil, `{"model":"surtitles","stream":true,"seed":1,"max_tokens":2,"messages":[{"role":"user","content":"probe"}]}`)
	a := r.caller.send(r.site.Balancer(), "/v1/chat/completions", "", body)
	if _, done := readEvents(a.body); a.err != nil || !done {
		return false
	}
	a = r.caller.send(r.site.Balancer(), bookingPath, "", []byte("probe"))
	return a.err == nil && a.status == http.StatusOK
}

// InjectDuplicateBooking injects a defect: it sends one booking twice without a key, as a
// system would that resends requests which may have run.
func (r *Load) InjectDuplicateBooking() {
	const seat = "a seat that is booked twice"
	for range 2 {
		r.caller.send(r.site.Balancer(), bookingPath, "", []byte(seat))
	}
	r.checkRuns(seat, "", false)
}

// readEvents returns the text of a stream and whether it has its end marker.
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

// sendBookings sends bookings until ctx ends and checks how often each ran.
// Half of them have an idempotency key and are resent until they succeed.
func (r *Load) sendBookings(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		seat := fmt.Sprintf("seat %d of %d", n, worker)
		key := ""
		if n%2 == 0 {
			key = fmt.Sprintf("key-%d-%d", worker, n)
		}
		r.sendBooking(key, seat)
		time.Sleep(callInterval)
	}
}

// sendBooking sends one booking, up to maxSends times if it has a key.
func (r *Load) sendBooking(key, seat string) {
	reportedNotRun := true
	for i := range maxSends {
		a := r.caller.send(r.site.Balancer(), bookingPath, key, []byte(seat))
		correct := a.err == nil && a.status == http.StatusOK && a.body == plain.Expect(http.MethodPost, "/bookings", seat)
		if a.err == nil && a.status == http.StatusOK && !correct {
			r.RecordViolation("booking %q received the wrong answer %q", seat, a.body)
		}
		r.count(&r.result.Bookings, a, correct)
		if a.ran != "no" {
			reportedNotRun = false
		}
		if correct || key == "" || i == maxSends-1 {
			break
		}
		time.Sleep(resendDelay)
	}
	r.checkRuns(seat, key, reportedNotRun)
}

// checkRuns checks that a booking ran at most once, and not at all if each
// answer reported that it did not run.
func (r *Load) checkRuns(seat, key string, reportedNotRun bool) {
	runs := r.site.Runs(seat)
	if runs > 1 {
		r.RecordViolation("booking %q with key %q ran %d times", seat, key, runs)
	}
	if reportedNotRun && runs > 0 {
		r.RecordViolation("booking %q with key %q was reported as not run, but ran", seat, key)
	}
}

// sendChanges changes the settings until ctx ends. It sends each change twice,
// checks that both get the same next version, and records the accepted
// version.
func (r *Load) sendChanges(ctx context.Context) {
	base := r.Accepted()
	for n := 0; ctx.Err() == nil; n++ {
		document := fmt.Sprintf("downtime_weight = %d.0\nstranded_weight = 1.0\n", n+2)
		id := fmt.Sprintf("change-%d", n)
		changeCtx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		first, err := r.site.Set(changeCtx, base, id, "/teams/"+string(site.Team)+"/objective", document)
		if err != nil {
			r.RecordViolation("change %d on version %d was not accepted: %v", n, base, err)
			cancel()
			return
		}
		again, err := r.site.Set(changeCtx, base, id, "/teams/"+string(site.Team)+"/objective", document)
		cancel()
		if err == nil && again != first {
			r.RecordViolation("change %d got version %d, its resend %d", n, first, again)
		}
		if first != base+1 {
			r.RecordViolation("change %d on version %d got version %d", n, base, first)
		}
		base = first
		r.mu.Lock()
		r.accepted = base
		r.result.Changes++
		r.mu.Unlock()
		time.Sleep(changeInterval)
	}
}
