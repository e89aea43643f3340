package launch

import (
	"runtime/debug"
)

// Settings of the garbage collector by which a process stays below the machine's
// memory limit, at which it would be killed.
const (
	memoryShare = 0.6 // share of the machine's memory for the Go runtime; the rest is for stacks, sockets and the C library
	heapGrowth  = 60  // growth of the heap between two collections, in percent of the live heap
)

// LimitMemory limits the Go runtime to a share of the machine's memory, which is
// given in bytes; 0 sets no limit.
func LimitMemory(bytes int64) {
	if bytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	debug.SetGCPercent(heapGrowth)
}
