// Command 11 removes a model from the config while its streams run, and stops the leading
// control node right after the change was acknowledged. It checks that the streams end
// whole, as they do without that stop.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sardineswitch.dev/sardine/review/rig3/platform"
)

const (
	events     = 50
	interval   = 100 * time.Millisecond
	timeLimit  = 8 * time.Second
	requesters = 8
	window     = 3 * time.Second // configApplyMs + 1 s
	restart    = time.Second
	settle     = 3 * time.Second        // stableWindowMs
	stopAfter  = 300 * time.Millisecond // the acknowledgement
)

func main() {
	platform.Run("review/11/record.txt", play)
}

func play(r *platform.Record) (int, error) {
	s, err := platform.NewSite(r, 3, 1)
	if err != nil {
		return 0, err
	}
	defer s.Stop()
	models := []string{"daka", "rada"}
	var engines []*platform.Engine
	for i := range 4 {
		e, err := s.NewEngine(r, "lenco", 100+i, models)
		if err != nil {
			return 0, err
		}
		e.Events, e.Interval = events, interval
		engines = append(engines, e)
	}
	both := []any{platform.Route("guide", "stream", "lenco", timeLimit, false), platform.Route("chat", "stream", "lenco", timeLimit, false)}
	if err := s.Put(platform.Config(1, both, []any{platform.EngineService("lenco", models)})); err != nil {
		return 0, err
	}
	front := s.Fronts[0]
	if err := s.Await("service of both models", func() bool {
		return ask(front, "/guide/x", "probe-guide", models[0]).Status == http.StatusOK &&
			ask(front, "/chat/x", "probe-chat", models[1]).Status == http.StatusOK
	}); err != nil {
		return 0, err
	}
	c := &cutter{record: r, site: s, front: front, engine: engines[0]}
	r.Printf("first, streams without a change of the config")
	other, err := c.play("calm", models[1], nil)
	if err != nil {
		return 0, err
	}
	r.Printf("then, config 2 drops the route chat and its model")
	config := platform.Config(2, both[:1], []any{platform.EngineService("lenco", models[:1])})
	cut, err := c.play("chat", models[1], config)
	if err != nil {
		return 0, err
	}
	r.Printf("%d of %d streams broken off from the sending of config 2 until %v after its acknowledgement, %d of %d without a config", cut, requesters, window, other, requesters)
	if cut > 3*other {
		return platform.Broken, nil
	}
	return platform.Held, nil
}

// cutter plays streams during which the leading control node may be stopped.
type cutter struct {
	record *platform.Record
	site   *platform.Site
	front  *platform.Node
	engine *platform.Engine
}

// play sends streams, then a config unless it is nil, then stops the leading control node
// and starts it again. It returns how many streams were broken off, of those beside a config
// only the ones that were within the window.
func (c *cutter) play(prefix, model string, config map[string]any) (cut int, err error) {
	leader := c.site.Leader()
	if leader == nil {
		return 0, errors.New("no control node leads")
	}
	var mu sync.Mutex
	var broken []time.Time
	var tasks sync.WaitGroup
	for i := range requesters {
		tasks.Go(func() {
			id := fmt.Sprintf("%s-%d", prefix, i)
			reply := ask(c.front, "/chat/x", id, model)
			whole := reply.Status == http.StatusOK && c.engine.Whole(reply.Body)
			c.record.Printf("request %s: %v, whole %v", id, reply, whole)
			mu.Lock()
			defer mu.Unlock()
			if !whole {
				broken = append(broken, time.Now())
			}
		})
	}
	time.Sleep(time.Second)
	end := time.Now().Add(time.Minute) // no stream lasts so long
	if config != nil {
		c.record.Printf("the config is sent")
		if err := c.site.Put(config); err != nil {
			return 0, err
		}
		c.record.Printf("the config is acknowledged")
		end = time.Now().Add(window)
	}
	time.Sleep(stopAfter)
	if platform.Trouble() {
		c.record.Printf("SIGTERM to %s, which leads", leader.Name)
		leader.Signal(syscall.SIGTERM)
		leader.AwaitExit()
		c.record.Printf("%s has exited", leader.Name)
		time.Sleep(restart)
		if err := leader.Start(); err != nil {
			return 0, err
		}
	}
	tasks.Wait()
	time.Sleep(settle)
	for _, at := range broken {
		if at.Before(end) {
			cut++
		}
	}
	return cut, nil
}

// ask sends a request for a stream of a model.
func ask(front *platform.Node, path, id, model string) platform.Reply {
	c, err := platform.Dial(front)
	if err != nil {
		return platform.Reply{Fault: "no connection: " + err.Error()}
	}
	defer c.Close()
	more := fmt.Sprintf("%s: %s\r\n%s: 100,350\r\n", platform.HeaderModel, model, platform.HeaderTokens)
	return c.Send(platform.Head(path, id, platform.Key, timeLimit, 2, more), "ok", timeLimit)
}
