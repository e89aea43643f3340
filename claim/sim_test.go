package claim

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/anishathalye/porcupine"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// event is a function to call at a virtual time.
type event struct {
	at  sardine.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one entry node. A restart after a crash replaces its coordinator.
type node struct {
	id          sardine.NodeID
	incarnation sardine.Incarnation
	coordinator *Coordinator
	up          bool
	pausedUntil sardine.Millis
}

// call is one caller's request.
type call struct {
	key      Key
	body     string
	node     *node
	start    sardine.Millis
	answered bool
}

// output is the answer that a caller got.
type output struct {
	ran    sardine.Ran
	answer string
}

// sim runs several nodes on one log that loses, delays and repeats proposals. A
// node may crash or pause before each action.
type sim struct {
	random     *rand.Rand
	now        sardine.Millis
	queue      events
	seq        int
	machine    *state.Machine
	index      uint64
	wall       state.WallTime
	nodes      []*node
	calls      map[RequestID]*call
	history    []porcupine.Event
	executed   map[Key]int
	executedAt map[Key]sardine.Millis
	hooks      hooks
	noAttempts bool // injected defect: the log ignores attempts
	violations []string
	answered   int
}

func newSim(seed uint64, h hooks) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 9)), machine: state.NewMachine(),
		calls: map[RequestID]*call{}, executed: map[Key]int{}, executedAt: map[Key]sardine.Millis{}, hooks: h,
	}
	for i := range 3 {
		n := &node{id: sardine.NodeID(fmt.Sprint("e", i))}
		s.nodes = append(s.nodes, n)
		s.restart(n)
	}
	return s
}

func (s *sim) after(d sardine.Millis, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) between(low, high int) sardine.Millis {
	return sardine.Millis(low + s.random.IntN(high-low+1))
}

func (s *sim) apply(c state.Command) state.Result {
	s.index++
	if s.noAttempts {
		c = withoutAttempt(c)
	}
	return s.machine.Apply(s.index, s.wall+state.WallTime(s.now), c)
}

func withoutAttempt(c state.Command) state.Command {
	switch c := c.(type) {
	case state.ClaimKey:
		c.Attempt = 0
		return c
	case state.FinishClaim:
		c.Attempt = 0
		return c
	case state.DropClaim:
		c.Attempt = 0
		return c
	}
	return c
}

func (s *sim) restart(n *node) {
	n.incarnation++
	n.up = true
	n.coordinator = New(n.id, n.incarnation, s.random, WithSweep(12000))
	n.coordinator.options.hooks = s.hooks
	s.apply(state.JoinEntry{Node: n.id, Incarnation: n.incarnation})
}

// crash stops a node, which breaks its callers' connections.
func (s *sim) crash(n *node) {
	n.up = false
	for id := RequestID(1); int(id) <= len(s.calls); id++ {
		if c := s.calls[id]; c.node == n {
			s.respond(id, output{ran: sardine.RanUnknown})
		}
	}
	s.after(s.between(10, 3000), func() { s.restart(n) })
}

// pause stops a node for a while. The control nodes may remove it meanwhile.
func (s *sim) pause(n *node) {
	n.pausedUntil = s.now + s.between(10, 4000)
	if s.random.IntN(3) == 0 {
		incarnation := n.incarnation
		s.after(s.between(0, 4000), func() { s.apply(state.LeaveEntry{Node: n.id, Incarnation: incarnation}) })
	}
}

// on calls run for a node's incarnation, or after the end of its pause.
func (s *sim) on(n *node, incarnation sardine.Incarnation, run func()) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if n.pausedUntil > s.now {
		s.after(n.pausedUntil-s.now, func() { s.on(n, incarnation, run) })
		return
	}
	run()
}

// perform performs a node's actions in order. Before each, the node may crash or
// pause.
func (s *sim) perform(n *node, actions []Action) {
	if len(actions) == 0 || !n.up {
		return
	}
	switch s.random.IntN(100) {
	case 0, 1:
		s.crash(n)
		return
	case 2, 3:
		s.pause(n)
	}
	incarnation := n.incarnation
	s.on(n, incarnation, func() {
		s.act(n, actions[0])
		s.perform(n, actions[1:])
	})
}

func (s *sim) act(n *node, a Action) {
	switch a := a.(type) {
	case Propose:
		s.propose(n, a)
	case Dispatch:
		s.dispatch(n, a)
	case Reply:
		s.answered++
		s.respond(a.Request, output{ran: sardine.RanYes, answer: string(a.Answer.Body)})
	case Refuse:
		if a.Code != codes.KeyReused {
			s.respond(a.Request, output{ran: a.Ran})
			return
		}
		s.respond(a.Request, output{ran: sardine.RanUnknown})
	}
}

// propose sends a proposal to the log and its result back. Either may be lost or
// delayed, and the proposal may arrive twice.
func (s *sim) propose(n *node, p Propose) {
	incarnation := n.incarnation
	done := false
	result := func(r state.Result, err error) {
		s.on(n, incarnation, func() {
			if !done {
				done = true
				s.perform(n, n.coordinator.Proposed(s.now, p.ID, r, err))
			}
		})
	}
	deliver := func() {
		r := s.apply(p.Command)
		if s.random.IntN(20) > 0 {
			s.after(s.between(1, 40), func() { result(r, nil) })
		}
	}
	s.after(500, func() { result(state.Result{}, errors.New("no answer")) })
	if s.random.IntN(15) > 0 {
		s.after(s.between(1, 40), deliver)
	}
	if s.random.IntN(10) == 0 {
		s.after(s.between(1, 9000), deliver)
	}
}

func (s *sim) dispatch(n *node, d Dispatch) {
	incarnation, kind := n.incarnation, s.random.IntN(20)
	s.after(s.between(1, 300), func() {
		o := Outcome{Ran: sardine.RanNo, Code: codes.NoTarget}
		if kind >= 3 {
			s.executed[d.Key]++
			if s.executed[d.Key] == 1 {
				s.executedAt[d.Key] = s.now
			}
			if s.executed[d.Key] > 1 {
				s.violations = append(s.violations, fmt.Sprintf("key %v ran %d times", d.Key, s.executed[d.Key]))
			}
			o = Outcome{Ran: sardine.RanYes, Answer: state.Answer{Status: 200, Body: fmt.Appendf(nil, "%d", s.random.Uint64())}}
		}
		if kind == 3 || kind == 4 || kind == 0 {
			o = Outcome{Ran: sardine.RanUnknown, Code: codes.OutcomeUnknown}
		}
		s.after(s.between(1, 50), func() {
			s.on(n, incarnation, func() {
				actions, err := n.coordinator.Ended(d.Attempt, o)
				if err != nil {
					s.violations = append(s.violations, err.Error())
				}
				s.perform(n, actions)
			})
		})
	})
}

func (s *sim) respond(id RequestID, o output) {
	c := s.calls[id]
	if c.answered {
		return
	}
	c.answered = true
	if at, ran := s.executedAt[c.key]; ran && o.ran == sardine.RanNo && at < c.start {
		s.violations = append(s.violations, fmt.Sprintf("key %v was answered as not run after it had run", c.key))
	}
	s.history = append(s.history, porcupine.Event{ClientId: int(id), Kind: porcupine.ReturnEvent, Value: o, Id: int(id)})
}

func (s *sim) offer(key Key, body string) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if !n.up {
		return
	}
	id := RequestID(len(s.calls) + 1)
	s.calls[id] = &call{key: key, body: body, node: n, start: s.now}
	s.history = append(s.history, porcupine.Event{ClientId: int(id), Kind: porcupine.CallEvent, Value: key, Id: int(id)})
	incarnation := n.incarnation
	s.on(n, incarnation, func() {
		s.perform(n, n.coordinator.Offer(s.now, id, key, []byte(body), s.now+s.between(200, 6000)))
	})
}

// run offers keys with resends for the given span and then runs until no event
// is left. jump moves the log's clock in the middle.
func (s *sim) run(span sardine.Millis, jump state.WallTime) {
	for i := range int(span) / 40 {
		key := Key{Workspace: "w", Key: fmt.Sprint(i / 8)}
		body := "a"
		if s.random.IntN(10) == 0 {
			body = "b"
		}
		s.after(sardine.Millis(i*40)+s.between(0, 2000), func() { s.offer(key, body) })
	}
	s.after(span/2, func() { s.wall += jump })
	for t := sardine.Millis(0); t < span+60000; t += 50 {
		s.after(t, func() {
			for _, n := range s.nodes {
				if n.up && n.pausedUntil <= s.now {
					s.perform(n, n.coordinator.Tick(s.now))
				}
			}
		})
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	for id := range s.calls {
		s.respond(id, output{ran: sardine.RanUnknown})
	}
}

// model is the porcupine model of one key: it ran with one answer or not at all.
var model = porcupine.Model{
	PartitionEvent: func(history []porcupine.Event) [][]porcupine.Event {
		keys, byKey, order := map[int]Key{}, map[Key][]porcupine.Event{}, []Key{}
		for _, e := range history {
			if key, isCall := e.Value.(Key); isCall {
				keys[e.Id] = key
			}
			key := keys[e.Id]
			if byKey[key] == nil {
				order = append(order, key)
			}
			byKey[key] = append(byKey[key], e)
		}
		parts := make([][]porcupine.Event, 0, len(order))
		for _, key := range order {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(current, _, answer any) (bool, any) {
		o := answer.(output)
		switch o.ran {
		case sardine.RanNo:
			return current == "", current
		case sardine.RanYes:
			return current == "" || current == o.answer, o.answer
		default:
			return true, current
		}
	},
}
