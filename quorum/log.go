package quorum

import "slices"

// memoryLog holds the part of the log that is kept in memory: all entries after
// base.
type memoryLog struct {
	base    Position
	entries []Entry // entries[0].Index == base.Index+1
}

func (l *memoryLog) last() Position {
	if n := len(l.entries); n > 0 {
		return Position{Index: l.entries[n-1].Index, Term: l.entries[n-1].Term}
	}
	return l.base
}

// term returns the term of the entry at index; ok is false if the log does not
// contain it.
func (l *memoryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *memoryLog) contains(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// from returns the entries after index: at most limit bytes, but at least one
// entry if there is any.
func (l *memoryLog) from(index uint64, limit int) []Entry {
	if index < l.base.Index || index >= l.last().Index {
		return nil
	}
	rest := l.entries[index-l.base.Index:]
	bytes := 0
	for i, e := range rest {
		bytes += e.size()
		if bytes > limit && i > 0 {
			return slices.Clip(rest[:i])
		}
	}
	return slices.Clip(rest)
}

// between returns the entries with after < Index <= through.
func (l *memoryLog) between(after, through uint64) []Entry {
	if after >= through {
		return nil
	}
	return slices.Clip(l.entries[after-l.base.Index : through-l.base.Index])
}

// truncateFrom drops the entries from index on. It copies the rest, because
// unsent messages may still refer to the old entries.
func (l *memoryLog) truncateFrom(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.base.Index-1])
}

func (l *memoryLog) add(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// compactionIndex returns the index up to which entries may be dropped so that at
// most count entries, and at most the given number of bytes, remain before the
// snapshot at index.
func (l *memoryLog) compactionIndex(index, count uint64, bytes int) uint64 {
	for index > l.base.Index && count > 0 {
		bytes -= l.entries[index-l.base.Index-1].size()
		if bytes < 0 {
			break
		}
		index--
		count--
	}
	return index
}

// compact drops the entries up to index, which becomes the base.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = Position{Index: index, Term: term}
}

func (l *memoryLog) reset(p Position) {
	l.base = p
	l.entries = nil
}
