package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine.
const (
	joinTime = 200 * time.Millisecond
	formTime = 300 * time.Millisecond // formMs
)

// Engine is a stand-in of a model worker. Only the head of an open group serves: each
// request gets a stream of numbered events.
type Engine struct {
	*Worker
	Events   int
	Interval time.Duration
	record   *Record

	mu      sync.Mutex
	staged  []string
	model   string
	group   string
	epoch   float64
	members []any
	state   string // of its group, empty without one
	seen    float64
	cut     chan struct{} // closed when the engine leaves its group
}

// NewEngine starts an engine that announces itself.
func (s *Site) NewEngine(r *Record, service string, last int, models []string) (*Engine, error) {
	e := &Engine{record: r, staged: models, cut: make(chan struct{})}
	w, err := s.NewWorker(service, last, e.answer)
	if err != nil {
		return nil, err
	}
	e.Worker = w
	w.Beat, w.Order = e.addTo, e.take
	w.Announce()
	return e, nil
}

// addTo adds the engine's part to a heartbeat.
func (e *Engine) addTo(beat map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	beat["domain"], beat["stage"], beat["staged"] = "d1", "both", e.staged
	beat["models"] = []any{}
	if e.model != "" {
		beat["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": []any{}}}
	}
	if e.group != "" {
		beat["group"] = map[string]any{"name": e.group, "epoch": e.epoch, "rank": e.rank(), "state": e.state}
	}
}

func (e *Engine) rank() int {
	return slices.Index(e.members, any(e.ID))
}

// take carries out an order and returns the status of the answer.
func (e *Engine) take(order map[string]any) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	group, _ := order["group"].(string)  // empty if the order has none
	epoch, _ := order["epoch"].(float64) // 0 if the order has none
	operation, _ := order["operation"].(string)
	e.record.Printf("order to %s: %s %s epoch %.0f, it holds %q epoch %.0f %s", e.ID, operation, group, epoch, e.group, e.epoch, e.state)
	held := e.group == group && e.epoch == epoch
	switch operation {
	case "stage":
		return http.StatusOK // its host has all models
	case "join":
		members, _ := order["members"].([]any) // an order without members is refused
		return e.join(group, epoch, members, order["model"])
	case "open":
		return e.open(held)
	case "leave":
		if held {
			e.leave()
		}
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

func (e *Engine) join(group string, epoch float64, members []any, model any) int {
	same := e.group == group && e.epoch == epoch
	switch {
	case len(members) == 0 || !slices.Contains(members, any(e.ID)):
		return http.StatusBadRequest
	case epoch < e.seen, same && !slices.Equal(members, e.members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	if e.group != "" {
		e.leave()
	}
	e.seen, e.group, e.epoch, e.members, e.state = epoch, group, epoch, members, "joining"
	e.model, _ = model.(string) // a join names one
	e.after(joinTime, "joining", "ready")
	return http.StatusAccepted
}

func (e *Engine) open(held bool) int {
	switch {
	case !held || e.rank() != 0:
		return http.StatusConflict
	case e.state == "open":
		return http.StatusOK
	case e.state != "ready":
		return http.StatusConflict
	}
	e.after(formTime, "ready", "open")
	return http.StatusAccepted
}

func (e *Engine) leave() {
	close(e.cut)
	e.cut = make(chan struct{})
	e.group, e.epoch, e.members, e.state = "", 0, nil, ""
	e.Changed()
}

// after changes the state some time later, unless the engine has left the group meanwhile.
func (e *Engine) after(d time.Duration, from, to string) {
	e.Changed()
	group, epoch := e.group, e.epoch
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.group == group && e.epoch == epoch && e.state == from {
			e.state = to
			e.Changed()
		}
	})
}

// answer streams numbered events.
func (e *Engine) answer(out http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	open, cut := e.state == "open", e.cut
	e.mu.Unlock()
	id := q.Header.Get(HeaderRequest)
	if !open {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.Printf("%s runs %s", e.ID, id)
	e.Stamp(out, q)
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(q.Header.Get(HeaderLastEvent)) // 0 without one
	for i := first + 1; i <= e.Events; i++ {
		select {
		case <-time.After(e.Interval):
		case <-q.Context().Done():
			e.record.Printf("%s: the node has closed the connection of %s", e.ID, id)
			return
		case <-cut:
			e.record.Printf("%s has left its group while it ran %s", e.ID, id)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", i, id, i, e.Events)
		_ = http.NewResponseController(out).Flush() // a closed connection ends the context
	}
}

// Whole reports whether a stream's body has all events.
func (e *Engine) Whole(body string) bool {
	return strings.Count(body, "id: ") == e.Events && strings.HasSuffix(body, "\n\n")
}

// EngineService returns a service of a config whose engines load models of two workers.
func EngineService(name string, models []string) map[string]any {
	var all []any
	for _, m := range models {
		all = append(all, map[string]any{"name": m, "size": 2, "share": 0.5, "pace": 1.0, "loadS": 2.0, "warmS": 0.2})
	}
	s := Plain(name)
	s["engine"] = map[string]any{
		"slots": 26, "kvCapacity": 1590000, "tokenKvBytes": 327680, "linkMbps": 400000.0, "stride": 7, "models": all,
		"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
		"report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178},
		"keeps": 2, "far_x": 3.0, "formMs": formTime.Milliseconds(),
	}
	return s
}

// Leader returns the control node that its log names as the leader.
func (s *Site) Leader() *Node {
	newest, term := "", 0
	for _, n := range s.Controls {
		for line := range strings.SplitSeq(n.Log(), "\n") {
			if !strings.Contains(line, "leader_changed") {
				continue
			}
			ip, _, _ := strings.Cut(textAfter(line, `"leader":"`), `"`)
			number, _, _ := strings.Cut(textAfter(line, `"term":`), ",")
			if t, err := strconv.Atoi(strings.Trim(number, `"}`)); err == nil && t > term {
				newest, term = ip, t
			}
		}
	}
	for _, n := range s.Controls {
		if n.IP == newest {
			return n
		}
	}
	return nil
}

func textAfter(line, word string) string {
	_, rest, _ := strings.Cut(line, word)
	return rest
}
