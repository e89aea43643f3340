package uplink

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

const step = 5 * sardine.Millis(1)

// link is the state of a node's links to all targets.
type link int

const (
	up     link = iota
	silent      // nothing passes
	refuse      // open connections live on, new ones are refused
)

// target is a target of a simulated site.
type target struct {
	service     int
	latency     sardine.Millis
	gone        bool
	pausedUntil sardine.Millis
	avoidUntil  sardine.Millis
}

// exchange is a request under way.
type exchange struct {
	target  int
	tries   int // of the request
	dial    bool
	startAt sardine.Millis
	doneAt  sardine.Millis // of the answer, if it arrives
}

// world is a node and its targets in virtual time.
type world struct {
	random   *rand.Rand
	detector *Detector
	targets  []*target
	now      sardine.Millis
	link     link
	interval sardine.Millis // between two requests
	under    []exchange
	round    []int          // targets of the running round
	roundEnd sardine.Millis // 0 without one
	heard    int            // the target that answered last
	lost     []sardine.Millis
	back     []sardine.Millis
	requests []sardine.Millis // of the requests
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), detector: New(DefaultLimits()), now: 10 * sardine.Second}
	services := 1 + w.random.IntN(4)
	for i := range 3 + w.random.IntN(30) {
		latency := 1 + w.random.IntN(30)
		if w.random.IntN(8) == 0 {
			latency = 1500 // a target that is slow by its work
		}
		w.targets = append(w.targets, &target{service: i % services, latency: sardine.Millis(latency)})
	}
	w.interval = []sardine.Millis{5, 10, 50, 200}[w.random.IntN(4)]
	return w
}

// run passes the time until the given instant.
func (w *world) run(until sardine.Millis) {
	for ; w.now < until; w.now += step {
		if w.interval > 0 && w.random.IntN(int(w.interval/step)) == 0 {
			w.requests = append(w.requests, w.now)
			w.send(1)
		}
		w.exchange()
		w.probe()
	}
}

// send sends a request to a target that is not suspected, if there is one.
func (w *world) send(tries int) {
	i := w.random.IntN(len(w.targets))
	for range w.targets {
		if w.targets[i].avoidUntil <= w.now {
			break
		}
		i = (i + 1) % len(w.targets)
	}
	w.under = append(w.under, exchange{target: i, tries: tries, dial: w.random.IntN(3) == 0, startAt: w.now, doneAt: w.now + w.targets[i].latency})
}

// exchange passes what happens to the exchanges to the detector.
func (w *world) exchange() {
	under := w.under
	w.under = nil
	waited := make(map[int]bool)
	for _, x := range under {
		t := w.targets[x.target]
		age := w.now - x.startAt
		paused := w.now < t.pausedUntil
		switch {
		case t.gone, x.dial && w.link == refuse && age < step:
			w.fail(x.target)
			if x.tries < 4 {
				w.send(x.tries + 1)
			}
		case w.link != silent && !paused && w.now >= x.doneAt:
			w.detector.Progressed(w.now)
			w.heard = x.target
		case x.dial && w.link == silent && age >= 400, age >= 1000 && t.latency < 1000:
			w.fail(x.target)
		default:
			w.under = append(w.under, x)
			if age >= DefaultLimits().Silence {
				waited[x.target] = true
			}
		}
	}
	w.detector.Silent(w.now, len(waited))
}

func (w *world) fail(i int) {
	w.targets[i].avoidUntil = w.now + 2*sardine.Second
	w.detector.Failed(w.now, fmt.Sprint(i))
}

// probe performs the rounds.
func (w *world) probe() {
	if w.roundEnd == 0 && w.detector.Next(w.now) {
		w.round = w.random.Perm(len(w.targets))[:min(4, len(w.targets))]
		if !slices.Contains(w.round, w.heard) {
			w.round[0] = w.heard
		}
		w.roundEnd = w.now + 300
	}
	if w.roundEnd == 0 {
		return
	}
	r := Round{Targets: len(w.round)}
	for _, i := range w.round {
		switch {
		case w.link == silent:
		case w.link == refuse || w.targets[i].gone:
			r.Refused++
		default:
			r.Reached++
		}
	}
	if r.Reached == 0 && r.Refused < r.Targets && w.now < w.roundEnd {
		return
	}
	w.roundEnd = 0
	switch w.detector.Ended(w.now, r) {
	case Lost:
		w.lost = append(w.lost, w.now)
	case Reconnected:
		w.back = append(w.back, w.now)
	}
}

// disturb lets single targets pause, and the targets of one service of several end.
func (w *world) disturb() {
	for range 3 {
		w.targets[w.random.IntN(len(w.targets))].pausedUntil = w.now + sardine.Second
	}
	if w.targets[len(w.targets)-1].service == 0 && len(w.targets) < 12 {
		return
	}
	ended := 0
	for _, t := range w.targets {
		if t.service == 0 && ended < 3 {
			t.gone = true
			ended++
		}
	}
}

// TestSoundLinkIsNotLost lets targets pause, fail and answer slowly, at busy and idle nodes.
func TestSoundLinkIsNotLost(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seed)
		w.run(w.now + 3*sardine.Second)
		w.disturb()
		w.run(w.now + 6*sardine.Second)
		require.Empty(t, w.lost, "seed %d", seed)
	}
}

// TestLossOfMostTargetsIsNoCut ends all targets but one or two at once, at busy nodes.
func TestLossOfMostTargetsIsNoCut(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seed)
		w.interval = 10
		w.run(w.now + 3*sardine.Second)
		for i, t := range w.targets {
			t.latency = min(t.latency, 30)
			t.gone = i >= 1+w.random.IntN(2)
		}
		w.run(w.now + 6*sardine.Second)
		require.Empty(t, w.lost, "seed %d", seed)
	}
}

// TestCutIsDetected cuts and heals all links of busy and idle nodes, some of whose targets
// pause or have failed.
func TestCutIsDetected(t *testing.T) {
	const within, back = 1300 * sardine.Millis(1), 1000 * sardine.Millis(1)
	slowest := map[string]sardine.Millis{}
	for seed := range uint64(150) {
		w := newWorld(seed)
		w.run(w.now + 3*sardine.Second)
		if seed%2 == 0 {
			w.disturb()
			w.run(w.now + 500)
		}
		w.link = silent
		if seed%3 == 0 {
			w.link = refuse
		}
		cutAt, sent := w.now, len(w.requests)
		w.run(w.now + 6*sardine.Second)
		first := cutAt
		if len(w.requests) > sent {
			first = w.requests[sent]
		}
		if w.link == refuse && w.interval > 10 {
			first = cutAt + 2*sardine.Second // only the connections that an idle node opens fail
		}
		require.NotEmpty(t, w.lost, "seed %d", seed)
		require.LessOrEqual(t, w.lost[0]-first, within, "seed %d", seed)
		name := fmt.Sprintf("lost, link %d, interval %d", w.link, w.interval)
		slowest[name] = max(slowest[name], w.lost[0]-first)
		require.Empty(t, w.back, "seed %d", seed)
		w.link = up
		healAt := w.now
		w.run(w.now + 6*sardine.Second)
		require.Len(t, w.back, 1, "seed %d", seed)
		require.LessOrEqual(t, w.back[0]-healAt, back, "seed %d", seed)
		slowest["back"] = max(slowest["back"], w.back[0]-healAt)
		require.Len(t, w.lost, 1, "seed %d", seed)
	}
	t.Logf("slowest, in ms: %v", slowest)
}

// TestFlappingLinkDoesNotFlutter cuts and heals the links once a second or slower.
func TestFlappingLinkDoesNotFlutter(t *testing.T) {
	most := 0
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.interval = 10
		w.run(w.now + 3*sardine.Second)
		period := sardine.Millis(500 + w.random.IntN(2000))
		const flaps = 15
		for range flaps {
			w.link = silent
			w.run(w.now + period)
			w.link = up
			w.run(w.now + period)
		}
		most = max(most, len(w.lost))
		require.LessOrEqual(t, len(w.lost), 5, "seed %d, period %d", seed, period)
		w.run(w.now + 5*sardine.Second)
		require.Equal(t, Connected, w.detector.State(), "seed %d", seed)
	}
	t.Logf("most isolations: %d", most)
}

// TestSpread checks that a round covers the services and data centres.
func TestSpread(t *testing.T) {
	var all []Target
	for i := range 40 {
		all = append(all, Target{Address: fmt.Sprint(i), Service: "large", DataCentre: sardine.DataCentre(fmt.Sprint(i % 3))})
	}
	for i := range 2 {
		all = append(all, Target{Address: fmt.Sprint(100 + i), Service: "small", DataCentre: "0"}, Target{Address: "100", Service: "other", DataCentre: "0"})
	}
	for seed := range uint64(50) {
		services, centres, addresses := map[sardine.ServiceName]bool{}, map[sardine.DataCentre]bool{}, map[string]bool{}
		for _, p := range Spread(all, "7", 4, rand.New(rand.NewPCG(seed, 1))) {
			services[p.Service], centres[p.DataCentre], addresses[p.Address] = true, true, true
		}
		require.Len(t, services, 2)
		require.Len(t, centres, 3)
		require.Len(t, addresses, 4)
		require.Equal(t, "7", Spread(all, "7", 4, rand.New(rand.NewPCG(seed, 2)))[0].Address)
	}
	require.Empty(t, Spread(nil, "", 4, rand.New(rand.NewPCG(1, 1))))
}
