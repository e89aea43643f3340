package launch

import (
	"runtime/debug"
)

// Shares of the machine's memory, and the growth of the heap between two
// collections, by which a process stays below a limit that would end it.
const (
	memoryShare = 0.6 // of the machine's memory; the rest is for stacks, sockets and the C library
	heapGrowth  = 60  // percent of the live heap
)

// LimitMemory makes the runtime keep to a part of the machine's memory, in
// bytes; 0 leaves it unbounded.
func LimitMemory(bytes int64) {
	if bytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	debug.SetGCPercent(heapGrowth)
}
