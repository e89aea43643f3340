package gauge

// Costs of the engine model with priorities, which the admission measurement
// uses. The size of its batch is the bottleneck.
const (
	priorityBatch      = 96
	priorityBase       = 15.0  // milliseconds of a request without prefill
	priorityPerToken   = 0.05  // milliseconds of prefill per token
	priorityPerRunning = 0.005 // relative slowdown of prefill per running request
	priorityChunk      = 25.0  // milliseconds of prefill between two choices by priority
)

// job is one request on a priorityEngine.
type job struct {
	class   int     // by priority, lowest first
	left    float64 // milliseconds of prefill, without the slowdown
	tokens  float64 // to generate
	first   func()  // called at the first token
	ended   func()  // called at the end of the answer
	started bool
}

// priorityEngine models one group that schedules by priority: the highest class
// is prefilled first, in chunks, and at most priorityBatch requests run.
type priorityEngine struct {
	clock      *timeline
	queues     [3][]*job
	running    int
	busy       bool
	down       bool
	generation int // incremented when the engine fails, which voids older events
}

// add queues a job. An engine that is down drops it without an answer.
func (e *priorityEngine) add(j *job) {
	if e.down {
		return
	}
	e.queues[j.class] = append(e.queues[j.class], j)
	e.work()
}

// next removes and returns the first job of the highest class that may run, or
// nil.
func (e *priorityEngine) next() *job {
	for class := len(e.queues) - 1; class >= 0; class-- {
		for i, j := range e.queues[class] {
			if j.started || e.running < priorityBatch {
				e.queues[class] = append(e.queues[class][:i:i], e.queues[class][i+1:]...)
				return j
			}
		}
	}
	return nil
}

// work runs one chunk of prefill if the engine is idle.
func (e *priorityEngine) work() {
	if e.busy {
		return
	}
	j := e.next()
	if j == nil {
		return
	}
	e.busy = true
	if !j.started {
		j.started = true
		e.running++
	}
	chunk := min(j.left, priorityChunk)
	generation := e.generation
	e.clock.after(chunk*(1+priorityPerRunning*float64(e.running)), func() {
		if e.generation != generation {
			return
		}
		e.busy = false
		j.left -= chunk
		e.finish(j)
		e.work()
	})
}

// finish starts the generation if the prefill is complete; otherwise it queues
// the rest at the head of its class.
func (e *priorityEngine) finish(j *job) {
	if j.left > 0 {
		e.queues[j.class] = append([]*job{j}, e.queues[j.class]...)
		return
	}
	j.first()
	generation := e.generation
	e.clock.after(j.tokens*(modelDecode+modelDecodeMore*float64(e.running)), func() {
		if e.generation != generation {
			return
		}
		e.running--
		j.ended()
		e.work()
	})
}

// fail drops all work without an answer.
func (e *priorityEngine) fail() {
	e.down = true
	e.generation++
	e.running = 0
	e.busy = false
	e.queues = [3][]*job{}
}

func (e *priorityEngine) queued() int {
	return len(e.queues[0]) + len(e.queues[1]) + len(e.queues[2])
}
