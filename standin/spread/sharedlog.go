package spread

import (
	"sardineswitch.dev/sardine/state"
)

// logEntry is one entry of the log; command is nil for the first entry of a
// term.
type logEntry struct {
	term    uint64
	at      state.WallTime
	command state.Command
}

// sharedLog is the log of all control nodes. Entries are never removed: a new
// leader keeps what earlier leaders appended, which is one of the outcomes that
// a real log allows.
type sharedLog struct {
	term    uint64 // of the newest leader
	entries []logEntry
}

// append adds an entry for the leader of a term and returns its index. It
// returns 0 if a later term has begun: such an entry reaches no majority.
func (l *sharedLog) append(term uint64, at state.WallTime, c state.Command) uint64 {
	if term != l.term {
		return 0
	}
	l.entries = append(l.entries, logEntry{term: term, at: at, command: c})
	return uint64(len(l.entries))
}

func (l *sharedLog) at(index uint64) logEntry {
	return l.entries[index-1]
}

func (l *sharedLog) last() uint64 {
	return uint64(len(l.entries))
}
