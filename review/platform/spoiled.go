package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of spoiled answers. The share of workers and answers are those of
// the site file: 0.6 of the workers spoil 0.03 of their answers.
const (
	spoilingWorkers = 3 // of 5
	spoilEach       = 33
	streamEvents    = 6
	streamCallers   = 16
	streamsEach     = 50
)

// Parts of answers that arrive before they break off: bytes that are no events, and a
// failure of the worker's own.
const (
	spoiledText = "upstream is being restarted, please wait"
	brokenError = `{"error":"the prompt is`
)

// playSpoiled sends streams to workers of which some spoil an answer now and then.
func playSpoiled(r *rig) (verdict, error) {
	if err := r.start(); err != nil {
		return unable, err
	}
	for i := range 5 {
		spoils := r.trouble && i < spoilingWorkers
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i+1), "lenco", func(w http.ResponseWriter, q *http.Request, one *run) { answerStream(w, one, spoils) }); err != nil {
			return unable, err
		}
	}
	routes := fmt.Sprintf(`{"name":"r-chat","host":%q,"pathPrefix":"/lohu930/","kind":"stream","timeoutMs":5000,"sloMs":200,"priority":1,"service":"lenco","maxAttempts":2,"public":false,"resumable":true,"gapTargetMs":200}`, callerHost)
	if err := r.putConfig(7, routes, `{"name":"lenco","healthPath":"/health","maxConns":464,"protocol":"h1","tls":false}`); err != nil {
		return unable, err
	}
	if err := r.awaitReady("/lohu930/2f"); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second) // all machines are in touch
	answers := r.sendStreams()
	mixed, aborted, whole := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.complete && a.status == http.StatusOK && a.body == wholeStream():
			whole++
		case a.complete && a.stamp != "":
			mixed++
			r.log("request %s: a complete answer %d with the stamp %s and this body, which no worker gave: %q; runs: %s", a.id, a.status, a.stamp, a.body, describe(r.runsOf(a.id)))
		default:
			aborted++
			r.log("request %s: status %d, complete %t, error %v; runs: %s", a.id, a.status, a.complete, a.err, describe(r.runsOf(a.id)))
		}
	}
	r.log("%d streams: %d whole, %d failed or broken off, %d complete answers with a worker's stamp and a body that is not its whole body; allowed are 0", len(answers), whole, aborted, mixed)
	if mixed > 0 {
		return broken, nil
	}
	return held, nil
}

// wholeStream returns the body of a worker's whole answer. All workers give the same.
func wholeStream() string {
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: word %d\n\n", i+1, i+1)
	}
	return b.String()
}

// answerStream answers with a stream, or spoils the answer and breaks off.
func answerStream(w http.ResponseWriter, one *run, spoils bool) {
	control := http.NewResponseController(w)
	if spoils && one.number%spoilEach == 0 {
		switch one.number / spoilEach % 3 {
		case 0:
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, spoiledText+"\n\n")
		case 1:
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnprocessableEntity)
			fmt.Fprint(w, brokenError)
		default:
			w.Header().Set("Content-Type", "text/plain")
			fmt.Fprint(w, spoiledText)
		}
		_ = control.Flush()
		one.broken = true
		time.Sleep(20 * time.Millisecond)
		conn, _, err := control.Hijack()
		if err != nil {
			return
		}
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // a reset
		}
		_ = conn.Close()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		fmt.Fprintf(w, "id: %d\ndata: word %d\n\n", i+1, i+1)
		_ = control.Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// sendStreams sends streams one after the other on each caller's connection.
func (r *rig) sendStreams() []answer {
	var mu sync.Mutex
	var all []answer
	var group sync.WaitGroup
	for i := range streamCallers {
		group.Go(func() {
			c := newCaller(r, r.front(i))
			defer c.close()
			for range streamsEach {
				a := c.call(request{method: http.MethodPost, path: "/lohu930/2f", body: "prompt", wait: 5 * time.Second})
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return all
}
