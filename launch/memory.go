package launch

import (
	"runtime/debug"
)

// memoryShare is the share of the machine's memory for the Go runtime; the rest is for
// stacks, sockets and the C library. A process at the machine's limit would be killed.
const memoryShare = 0.6

// Growth of the heap between two collections, in percent of the live heap.
const (
	EntryHeapGrowth   = 60  // entry nodes need their memory for answers
	ControlHeapGrowth = 200 // control nodes have much memory for little state and a small share of a processor
)

// LimitMemory limits the Go runtime to a share of the machine's memory, which is given in
// bytes, and sets the growth of the heap; 0 bytes change nothing.
func LimitMemory(bytes int64, heapGrowth int) {
	if bytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	debug.SetGCPercent(heapGrowth)
}
