package gauge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/state"
)

// ClaimsResult is the claims measurement's last line.
type ClaimsResult struct {
	Seed          uint64              `json:"seed"`
	Claims        int                 `json:"claims"`
	Centres       []ClaimCentreResult `json:"data_centres"`
	Resends       int                 `json:"resends_with_the_same_answer"`
	CorePerSecond float64             `json:"core_claims_per_second"` // claim, finish and apply on one processor
	LogPerSecond  float64             `json:"log_claims_per_second"`  // at the rate asked, in virtual time
	RequestedRate float64             `json:"rate_asked"`
}

// ClaimCentreResult is what a claim adds before dispatch at one data centre, in
// milliseconds. The floor is the round trips to the leader and from it to its
// nearest follower.
type ClaimCentreResult struct {
	Centre int     `json:"data_centre"`
	Floor  float64 `json:"floor_ms"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

type claimsFlags struct {
	seed    uint64
	rate    float64
	seconds int
	oneWay  float64
	sync    float64
}

func claims() Measure {
	return Measure{
		Name:    "claims",
		Short:   "What claiming an idempotency key adds over three data centres, in virtual time",
		Example: "  standin measure claims --seed 1 --one-way 1",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &claimsFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals")
			c.Flags().Float64Var(&f.rate, "rate", 200, "requests with a key a second")
			c.Flags().IntVar(&f.seconds, "seconds", 60, "seconds of virtual time")
			c.Flags().Float64Var(&f.oneWay, "one-way", 0.5, "milliseconds between two data centres one way")
			c.Flags().Float64Var(&f.sync, "sync", 1, "milliseconds of a disk sync")
			return func(out io.Writer) (any, error) { return measureClaims(out, f) }
		},
	}
}

// claimRun runs one keeper in each of three data centres against a log whose
// leader is in the first. The leader syncs all waiting proposals at once.
type claimRun struct {
	timeline
	flags   *claimsFlags
	random  *rand.Rand
	keepers []*claim.Coordinator
	machine *state.Machine
	index   uint64
	batch   []proposal
	syncing bool
	starts  map[claim.RequestID]float64
	added   []sample
	resends int
	last    claim.RequestID
}

type proposal struct {
	node   int
	action claim.Propose
}

// local is the time in milliseconds one way within a data centre.
const local = 0.1

func (r *claimRun) oneWay(a, b int) float64 {
	if a == b {
		return local
	}
	return r.flags.oneWay
}

func newClaimRun(f *claimsFlags) *claimRun {
	r := &claimRun{flags: f, random: newRandom(f.seed, 1), machine: state.NewMachine(), starts: make(map[claim.RequestID]float64), added: make([]sample, 3)}
	for i := range 3 {
		id := sardine.NodeID(fmt.Sprint("e", i))
		r.apply(state.JoinEntry{Node: id, Incarnation: 1})
		r.keepers = append(r.keepers, claim.New(id, 1, newRandom(f.seed, uint64(10+i))))
	}
	return r
}

func (r *claimRun) apply(c state.Command) state.Result {
	r.index++
	return r.machine.Apply(r.index, state.WallTime(r.now), c)
}

func (r *claimRun) arrive() {
	r.after(r.random.ExpFloat64()/r.flags.rate*1000, r.arrive)
	r.last++
	id, node := r.last, r.random.IntN(3)
	key := claim.Key{Workspace: "w", Key: fmt.Sprint(id)}
	r.starts[id] = r.now
	r.offer(node, id, key)
	if r.random.IntN(10) == 0 {
		r.after(r.random.Float64()*100, func() {
			r.last++
			r.offer(r.random.IntN(3), r.last, key)
		})
	}
}

func (r *claimRun) offer(node int, id claim.RequestID, key claim.Key) {
	now := sardine.Millis(r.now)
	r.perform(node, r.keepers[node].Offer(now, id, key, []byte("body"), now+10000))
}

func (r *claimRun) perform(node int, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Propose:
			r.after(r.oneWay(node, 0), func() { r.propose(proposal{node: node, action: a}) })
		case claim.Dispatch:
			r.dispatched(node, a)
		case claim.Reply:
			if _, first := r.starts[a.Request]; !first {
				r.resends++
			}
		}
	}
}

func (r *claimRun) dispatched(node int, d claim.Dispatch) {
	r.added[node].add(r.now - r.starts[d.Request])
	r.after(20+r.random.Float64()*200, func() {
		answer := state.Answer{Status: 200, Body: []byte("booked")}
		actions, err := r.keepers[node].Ended(d.Attempt, claim.Outcome{Ran: sardine.RanYes, Answer: answer})
		if err == nil {
			r.perform(node, actions)
		}
	})
}

// propose queues a proposal at the leader for its next sync.
func (r *claimRun) propose(p proposal) {
	r.batch = append(r.batch, p)
	if !r.syncing {
		r.sync()
	}
}

// sync makes a batch durable: the leader's own sync runs beside the nearest
// follower's.
func (r *claimRun) sync() {
	batch := r.batch
	r.batch = nil
	r.syncing = true
	r.after(r.flags.sync, func() {
		r.syncing = false
		if len(r.batch) > 0 {
			r.sync()
		}
	})
	r.after(2*r.flags.oneWay+r.flags.sync, func() {
		for _, p := range batch {
			result := r.apply(p.action.Command)
			r.after(r.oneWay(0, p.node), func() {
				r.perform(p.node, r.keepers[p.node].Proposed(sardine.Millis(r.now), p.action.ID, result, nil))
			})
		}
	})
}

func (r *claimRun) tick() {
	for i, k := range r.keepers {
		r.perform(i, k.Tick(sardine.Millis(r.now)))
	}
	r.after(50, r.tick)
}

func measureClaims(out io.Writer, f *claimsFlags) (any, error) {
	r := newClaimRun(f)
	r.after(0, r.arrive)
	r.after(0, r.tick)
	r.runUntil(float64(f.seconds) * 1000)
	result := ClaimsResult{Seed: f.seed, Resends: r.resends, RequestedRate: f.rate, CorePerSecond: round(coreClaims(f.seed))}
	for i := range r.added {
		result.Claims += len(r.added[i].values)
		result.Centres = append(result.Centres, ClaimCentreResult{
			Centre: i, Floor: round(2*r.oneWay(i, 0) + 2*f.oneWay), P50: r.added[i].at(0.5), P99: r.added[i].at(0.99),
		})
	}
	result.LogPerSecond = round(float64(result.Claims) / float64(f.seconds))
	for _, c := range result.Centres {
		fmt.Fprintf(out, "data centre %d: floor %.2f ms, p50 %.2f ms, p99 %.2f ms\n", c.Centre, c.Floor, c.P50, c.P99)
	}
	return result, nil
}

// coreClaims returns how many claims a second one processor takes through a
// keeper and the state machine, from the offer to the finished claim.
func coreClaims(seed uint64) float64 {
	r := newClaimRun(&claimsFlags{seed: seed})
	k := r.keepers[0]
	const n = 40000
	start := time.Now()
	for i := range n {
		p := k.Offer(0, claim.RequestID(i+1), claim.Key{Workspace: "w", Key: fmt.Sprint(i)}, []byte("body"), 1000)[0].(claim.Propose)
		d := k.Proposed(0, p.ID, r.apply(p.Command), nil)[0].(claim.Dispatch)
		actions, err := k.Ended(d.Attempt, claim.Outcome{Ran: sardine.RanYes, Answer: state.Answer{Body: []byte("booked")}})
		if err != nil {
			return 0
		}
		f := actions[1].(claim.Propose)
		k.Proposed(0, f.ID, r.apply(f.Command), nil)
	}
	return n / time.Since(start).Seconds()
}
