package gauge

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// batchEngine models one group with continuous batching. Each iteration runs
// several decode steps for the requests whose prompts are prefilled, and
// prefills chunks of the other prompts beside them.
type batchEngine struct {
	clock      *timeline
	times      sardine.IterationTimes
	timeFactor float64 // factor on the times
	slots      int
	queue      int // maximum number of waiting requests
	waiting    []*batchJob
	running    []*batchJob
	busy       bool
	down       bool
	generation int // incremented when the engine stops, which voids the running iteration
}

// batchJob is one request at an engine.
type batchJob struct {
	rank        int
	seq         int
	prefillLeft float64 // prompt tokens that are not prefilled yet
	context     float64 // thousands of tokens
	events      int     // events of the answer that are left
	ended       bool
	gapTimer    int             // incremented when the caller's gap timer restarts, which voids the older timer
	onEvent     func(last bool) // called for each event
	onLost      func()          // called when its group is lost
}

// decodes reports whether the job's prompt is prefilled.
func (j *batchJob) decodes() bool {
	return j.prefillLeft <= 0
}

// lost ends the job because its group is lost.
func (j *batchJob) lost() {
	if !j.ended {
		j.ended = true
		j.onLost()
	}
}

// add queues a job. It reports false if the queue is full. An engine that is
// down accepts every job and never runs it.
func (e *batchEngine) add(j *batchJob) bool {
	if len(e.waiting) >= e.queue && !e.down {
		return false
	}
	e.clock.seq++
	j.seq = e.clock.seq
	e.waiting = append(e.waiting, j)
	e.startIteration()
	return true
}

// load returns the load that the engine reports in the head of an answer.
func (e *batchEngine) load() sardine.Load {
	return sardine.Load{Running: len(e.running), Queued: len(e.waiting)}
}

// startIteration starts an iteration if there is work and none is running.
func (e *batchEngine) startIteration() {
	if e.busy || e.down {
		return
	}
	ended := func(j *batchJob) bool { return j.ended }
	e.waiting = slices.DeleteFunc(e.waiting, ended)
	e.running = slices.DeleteFunc(e.running, ended)
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	decoding := slices.DeleteFunc(slices.Clone(e.running), func(j *batchJob) bool { return !j.decodes() })
	generation := e.generation
	e.clock.after(e.runIteration(decoding), func() {
		if e.generation == generation {
			e.endIteration()
		}
	})
}

// admit fills the batch from the queue, lower ranks first.
func (e *batchEngine) admit() {
	slices.SortFunc(e.waiting, func(a, b *batchJob) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.seq - b.seq
	})
	count := min(len(e.waiting), e.slots-len(e.running))
	e.running = append(e.running, e.waiting[:count]...)
	e.waiting = slices.Clone(e.waiting[count:])
}

// runIteration prefills as many prompt tokens as fit into one iteration and
// returns the iteration's duration in milliseconds.
func (e *batchEngine) runIteration(decoding []*batchJob) float64 {
	steps, decodeTime := 1, 0.0
	if len(decoding) > 0 {
		steps = e.times.Steps
		context := 0.0
		for _, j := range decoding {
			context += j.context
		}
		decodeTime = e.times.DecodeMillis(float64(len(decoding)), context/float64(len(decoding)))
	}
	capacity := float64(steps * e.times.PrefillChunk)
	prefilled := 0.0
	for _, j := range e.running {
		tokens := min(j.prefillLeft, capacity-prefilled)
		j.prefillLeft -= tokens
		prefilled += tokens
	}
	return e.timeFactor * (decodeTime + prefilled/e.times.PrefillPerMilli)
}

// endIteration emits one event for each job whose prompt is prefilled and
// starts the next iteration.
func (e *batchEngine) endIteration() {
	e.busy = false
	for _, j := range e.running {
		if j.ended || !j.decodes() {
			continue
		}
		j.events--
		j.ended = j.events <= 0
		j.onEvent(j.ended)
	}
	e.startIteration()
}

// stop ends all work of the engine for good.
func (e *batchEngine) stop() {
	e.down = true
	e.generation++
}
