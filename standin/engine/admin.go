package engine

import (
	"fmt"
	"net/http"
	"strconv"

	goji "goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
)

// Admin returns a handler that injects the engine's faults over HTTP, for
// engines that run as a separate program: POST /die, /start, /pause, /resume,
// /leave, /slow?factor=3, /cut?tokens=5&count=1, /late?ms=200&count=1,
// /twice?count=1, /wrong_id?count=1, /ignore_cancel?on=true. GET / returns the
// engine's state.
func (e *Engine) Admin() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/"), func(w http.ResponseWriter, _ *http.Request) {
		h := e.CurrentOrder()
		_, _ = fmt.Fprintf(w, "%s running=%v group=%q epoch=%d rank=%d state=%s\n", e.VM(), e.Running(), h.Group, h.Epoch, h.Rank, h.State)
	})
	actions := map[string]func(){"/die": e.Crash, "/pause": e.Pause, "/resume": e.Resume, "/leave": e.Leave}
	for path, act := range actions {
		mux.HandleFunc(pat.Post(path), func(http.ResponseWriter, *http.Request) { act() })
	}
	mux.HandleFunc(pat.Post("/start"), func(w http.ResponseWriter, _ *http.Request) {
		if err := e.Start(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	for path, act := range e.faultPaths() {
		mux.HandleFunc(pat.Post(path), func(w http.ResponseWriter, r *http.Request) {
			if err := act(query{r}); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		})
	}
	return mux
}

// faultPaths returns the paths whose faults have parameters.
func (e *Engine) faultPaths() map[string]func(query) error {
	f := e.faults
	return map[string]func(query) error{
		"/slow": func(q query) error { return q.float("factor", f.SetSlowdown) },
		"/cut": func(q query) error {
			return q.integer("tokens", func(tokens int) error {
				return q.integer("count", func(n int) error { f.CutStreams(tokens, n); return nil })
			})
		},
		"/late": func(q query) error {
			return q.integer("ms", func(ms int) error {
				return q.integer("count", func(n int) error { f.AnswerLate(sardine.Millis(ms), n); return nil })
			})
		},
		"/twice":    func(q query) error { return q.integer("count", func(n int) error { f.AnswerTwice(n); return nil }) },
		"/wrong_id": func(q query) error { return q.integer("count", func(n int) error { f.AnswerWrongID(n); return nil }) },
		"/ignore_cancel": func(q query) error {
			on, err := strconv.ParseBool(q.r.URL.Query().Get("on"))
			f.IgnoreCancel(on)
			return err
		},
	}
}

// query parses the query parameters of a request.
type query struct {
	r *http.Request
}

func (q query) integer(name string, use func(int) error) error {
	n, err := strconv.Atoi(q.r.URL.Query().Get(name))
	if err != nil {
		return fmt.Errorf("%s: expected a whole number: %w", name, err)
	}
	return use(n)
}

func (q query) float(name string, use func(float64)) error {
	f, err := strconv.ParseFloat(q.r.URL.Query().Get(name), 64)
	if err != nil || f <= 0 {
		return fmt.Errorf("%s: expected a number above 0", name)
	}
	use(f)
	return nil
}
