package spread

import (
	"sardineswitch.dev/sardine/state"
)

// entry is one entry of the log; Command is nil for the first of a term.
type entry struct {
	term    uint64
	at      state.WallTime
	command state.Command
}

// board is the log of all control nodes. Entries are never taken back: a new
// leader keeps what earlier ones appended, which is one of the outcomes that a
// real log allows.
type board struct {
	term    uint64 // of the newest leader
	entries []entry
}

// append adds an entry for the leader of a term. It returns 0 if the term is
// over: such an entry reaches no majority.
func (b *board) append(term uint64, at state.WallTime, c state.Command) uint64 {
	if term != b.term {
		return 0
	}
	b.entries = append(b.entries, entry{term: term, at: at, command: c})
	return uint64(len(b.entries))
}

func (b *board) at(index uint64) entry {
	return b.entries[index-1]
}

func (b *board) last() uint64 {
	return uint64(len(b.entries))
}
