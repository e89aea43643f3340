package gauge

import (
	"container/heap"
)

// timeline is a discrete-event simulation that runs calls at their virtual
// times, in milliseconds. Calls that are due at the same time run in the order
// in which they were added, so that the seed determines the run.
type timeline struct {
	now   float64
	seq   int
	queue dueCalls
}

type dueCall struct {
	at  float64
	seq int
	run func()
}

type dueCalls []dueCall

func (d dueCalls) Len() int { return len(d) }
func (d dueCalls) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].seq < d[j].seq)
}
func (d dueCalls) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dueCalls) Push(x any)   { *d = append(*d, x.(dueCall)) }
func (d *dueCalls) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// after schedules a call that runs once delay milliseconds have passed.
func (t *timeline) after(delay float64, run func()) {
	t.seq++
	heap.Push(&t.queue, dueCall{at: t.now + max(delay, 0), seq: t.seq, run: run})
}

// runUntil runs all calls due before end.
func (t *timeline) runUntil(end float64) {
	for len(t.queue) > 0 && t.queue[0].at < end {
		due := heap.Pop(&t.queue).(dueCall)
		t.now = due.at
		due.run()
	}
	t.now = end
}
