package gauge

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// passEngine models one group that works through all its requests pass by pass:
// prompts are read in chunks between the steps that write tokens.
type passEngine struct {
	line    *timeline
	times   sardine.IterationTimes
	pace    float64
	slots   int
	queue   int // requests that may wait
	waiting []*passJob
	running []*passJob
	busy    bool
	down    bool
	turned  int // counts up when the engine goes down, so that an old pass has no end
}

// passJob is one request at an engine.
type passJob struct {
	rank    int
	seq     int
	unread  float64 // prompt tokens
	context float64 // thousands of tokens
	events  int     // that are left to write
	gone    bool
	quiet   int             // counts up with each event, so that an older wait of the caller is void
	event   func(last bool) // an event was written
	moved   func()          // its group is lost
}

// writes reports whether the job's prompt is read.
func (j *passJob) writes() bool {
	return j.unread <= 0
}

// lost ends the job, as its group stands still.
func (j *passJob) lost() {
	if !j.gone {
		j.gone = true
		j.moved()
	}
}

// add takes a job, or refuses it if too many wait.
func (e *passEngine) add(j *passJob) bool {
	if len(e.waiting) >= e.queue && !e.down {
		return false
	}
	e.line.seq++
	j.seq = e.line.seq
	e.waiting = append(e.waiting, j)
	e.begin()
	return true
}

// load is what the engine says of itself in an answer's head.
func (e *passEngine) load() sardine.Load {
	return sardine.Load{Running: len(e.running), Queued: len(e.waiting)}
}

// begin starts a pass if there is work and none is under way.
func (e *passEngine) begin() {
	if e.busy || e.down {
		return
	}
	gone := func(j *passJob) bool { return j.gone }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	writers := slices.DeleteFunc(slices.Clone(e.running), func(j *passJob) bool { return !j.writes() })
	turned := e.turned
	e.line.after(e.pass(writers), func() {
		if e.turned == turned {
			e.end()
		}
	})
}

// admit fills the batch, lower ranks first.
func (e *passEngine) admit() {
	slices.SortFunc(e.waiting, func(a, b *passJob) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.seq - b.seq
	})
	count := min(len(e.waiting), e.slots-len(e.running))
	e.running = append(e.running, e.waiting[:count]...)
	e.waiting = slices.Clone(e.waiting[count:])
}

// pass reads what fits into one pass and returns its milliseconds.
func (e *passEngine) pass(writers []*passJob) float64 {
	steps, written := 1, 0.0
	if len(writers) > 0 {
		steps = e.times.Steps
		context := 0.0
		for _, j := range writers {
			context += j.context
		}
		written = e.times.DecodeMillis(float64(len(writers)), context/float64(len(writers)))
	}
	room := float64(steps * e.times.PrefillChunk)
	read := 0.0
	for _, j := range e.running {
		tokens := min(j.unread, room-read)
		j.unread -= tokens
		read += tokens
	}
	return e.pace * (written + read/e.times.PrefillPerMilli)
}

// end gives each job whose prompt is read its event.
func (e *passEngine) end() {
	e.busy = false
	for _, j := range e.running {
		if j.gone || !j.writes() {
			continue
		}
		j.events--
		j.gone = j.events <= 0
		j.event(j.gone)
	}
	e.begin()
}

// stop lets the engine stand still for good.
func (e *passEngine) stop() {
	e.down = true
	e.turned++
}
