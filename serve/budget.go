package serve

import (
	"errors"
	"io"
	"sync"
)

// shortBytes is the size up to which an answer is not taken from the budget, so that
// short answers are never rejected.
const shortBytes = 32 << 10

// errBudget reports that other answers use the whole budget.
var errBudget = errors.New("too many bytes of long answers are held")

// Budget bounds the memory of the long answers that a node holds at once. A target
// that sends without end would otherwise use up the node's memory with a few dozen
// requests. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	free int64 // bytes
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{free: bytes}
}

func (b *Budget) take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < bytes {
		return false
	}
	b.free -= bytes
	return true
}

func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
}

// read reads at most limit bytes into a buffer that doubles as needed. The caller calls release when it has no more use
// for them.
func (b *Budget) read(r io.Reader, limit int64) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { b.release(taken) }
	body = make([]byte, 0, min(shortBytes, limit))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return body, release, err
		case int64(len(body)) == limit:
			return body, release, nil
		case len(body) < cap(body):
			continue
		}
		grown := min(2*int64(cap(body)), limit)
		if !b.take(grown) {
			return body, release, errBudget
		}
		body = append(make([]byte, 0, grown), body...)
		b.release(taken) // the shorter buffer is garbage now
		taken = grown
	}
}
