package gauge

// Costs of the engine model with priorities that the admission measurement
// uses. Its batch is the bottleneck.
const (
	slotBatch      = 96
	slotBase       = 15.0  // milliseconds of a request without prefill
	slotPerToken   = 0.05  // milliseconds of prefill per token
	slotPerRunning = 0.005 // relative slowdown of prefill per running request
	slotChunk      = 25.0  // milliseconds of prefill between two looks at priorities
)

// job is one request on a slot engine.
type job struct {
	class   int     // by priority, lowest first
	left    float64 // milliseconds of prefill, without the slowdown
	tokens  float64
	first   func()
	ended   func()
	started bool
}

// slotEngine models one group that honours priorities: chunks of prefill go to
// the highest class, and at most slotBatch requests run.
type slotEngine struct {
	line    *timeline
	queues  [3][]*job
	running int
	busy    bool
	dark    bool
	age     int // counts the times it went dark, to void old events
}

// add queues a job; a dark engine takes it and never answers.
func (e *slotEngine) add(j *job) {
	if e.dark {
		return
	}
	e.queues[j.class] = append(e.queues[j.class], j)
	e.work()
}

// next takes the first job of the highest class that may run.
func (e *slotEngine) next() *job {
	for class := len(e.queues) - 1; class >= 0; class-- {
		for i, j := range e.queues[class] {
			if j.started || e.running < slotBatch {
				e.queues[class] = append(e.queues[class][:i:i], e.queues[class][i+1:]...)
				return j
			}
		}
	}
	return nil
}

// work runs one chunk of prefill.
func (e *slotEngine) work() {
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
	chunk := min(j.left, slotChunk)
	age := e.age
	e.line.after(chunk*(1+slotPerRunning*float64(e.running)), func() {
		if e.age != age {
			return
		}
		e.busy = false
		j.left -= chunk
		e.finish(j)
		e.work()
	})
}

// finish starts to generate once the prefill is done, else queues the rest.
func (e *slotEngine) finish(j *job) {
	if j.left > 0 {
		e.queues[j.class] = append([]*job{j}, e.queues[j.class]...)
		return
	}
	j.first()
	age := e.age
	e.line.after(j.tokens*(modelDecode+modelDecodeMore*float64(e.running)), func() {
		if e.age != age {
			return
		}
		e.running--
		j.ended()
		e.work()
	})
}

// goDark drops all work in silence.
func (e *slotEngine) goDark() {
	e.dark = true
	e.age++
	e.running = 0
	e.busy = false
	e.queues = [3][]*job{}
}

func (e *slotEngine) queued() int {
	return len(e.queues[0]) + len(e.queues[1]) + len(e.queues[2])
}
