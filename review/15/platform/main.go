// Command 15 raises the limit of heads in the config, and checks that requests within the
// new limit are not refused.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sardineswitch.dev/sardine/review/rig3/platform"
)

const (
	requests  = 100
	timeLimit = 1500 * time.Millisecond
	applyTime = 2 * time.Second // configApplyMs
	oldLimit  = 16384           // maxHeaderBytes of the first config
	newLimit  = 65536           // of the second
	free      = 5               // DENIED: more than 5 + one in 500
	oneIn     = 500
)

func main() {
	platform.Run("review/15/record.txt", play)
}

func play(r *platform.Record) (int, error) {
	s, err := platform.NewSite(r, 3, 1)
	if err != nil {
		return 0, err
	}
	defer s.Stop()
	var w *platform.Worker
	w, err = s.NewWorker("loja", 100, func(out http.ResponseWriter, q *http.Request) {
		w.Stamp(out, q)
		fmt.Fprintf(out, "%s by %s", q.Header.Get(platform.HeaderRequest), w.ID)
	})
	if err != nil {
		return 0, err
	}
	w.Announce()
	routes := []any{platform.Route("order", "unsafe", "loja", timeLimit, false)}
	config := func(version, limit int) map[string]any {
		c := platform.Config(version, routes, []any{platform.Plain("loja")})
		c["limits"].(map[string]any)["maxHeaderBytes"] = limit
		return c
	}
	if err := s.Put(config(1, oldLimit)); err != nil {
		return 0, err
	}
	front := s.Fronts[0]
	if err := s.Await("service", func() bool { return platform.Ask(front, "/order/x", "probe", timeLimit).Status == http.StatusOK }); err != nil {
		return 0, err
	}
	limit := oldLimit
	if platform.Trouble() {
		limit = newLimit
	}
	if err := s.Put(config(2, limit)); err != nil {
		return 0, err
	}
	r.Printf("config 2 with maxHeaderBytes %d is acknowledged", limit)
	time.Sleep(applyTime)
	denied := 0
	for i := range requests {
		id := fmt.Sprint("order-", i)
		size := limit * (i + 1) / (2 * requests) // up to half of the limit
		reply := send(front, id, size)
		r.Printf("request %s with a head of %d bytes: %v", id, size, reply)
		if reply.Begun >= 300 && reply.Begun < 500 && reply.Header.Get(platform.HeaderStamp) == "" {
			denied++
		}
	}
	r.Printf("%d requests with heads of half of the limit at most, %d refused with a 4xx of the node", requests, denied)
	if denied > free+requests/oneIn {
		return platform.Broken, nil
	}
	return platform.Held, nil
}

// send sends a request with a head of the given size on a new connection.
func send(front *platform.Node, id string, size int) platform.Reply {
	c, err := platform.Dial(front)
	if err != nil {
		return platform.Reply{Fault: "no connection: " + err.Error()}
	}
	defer c.Close()
	const name = "X-Note: "
	least := len(platform.Head("/order/x", id, platform.Key, timeLimit, 2, name+"\r\n"))
	more := name + strings.Repeat("n", max(size-least, 0)) + "\r\n"
	return c.Send(platform.Head("/order/x", id, platform.Key, timeLimit, 2, more), "ok", timeLimit)
}
