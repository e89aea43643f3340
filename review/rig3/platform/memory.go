package platform

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// MemoryMB is limits.memoryMb of each node's settings.
const MemoryMB = 284

// restartDelay is the time after which the platform starts an ended process again.
const restartDelay = 500 * time.Millisecond

// LimitMemory plays the platform towards a node until stop is closed: it ends the process
// when that uses more memory than its machine has, and starts it again. It returns the
// most that a process has used, in MB, and how many were ended.
func LimitMemory(r *Record, n *Node, stop <-chan struct{}) (peak, ended int) {
	for {
		select {
		case <-stop:
			return peak, ended
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMB(n)
		peak = max(peak, used)
		if used <= MemoryMB {
			continue
		}
		ended++
		r.Printf("the platform ends %s, which uses %d MB of %d", n.Name, used, MemoryMB)
		n.Signal(syscall.SIGKILL)
		n.AwaitExit()
		time.Sleep(restartDelay)
		if err := n.Start(); err != nil {
			r.Printf("%s does not start again: %v", n.Name, err)
			return peak, ended
		}
	}
}

// residentMB returns the memory that a process uses.
func residentMB(n *Node) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(f[1]) // the kernel writes a number
			return kilobytes >> 10
		}
	}
	return 0
}
