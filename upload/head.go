package upload

import (
	"bytes"
	"net/http"
	"sync"

	"sardineswitch.dev/sardine/codes"
)

// A header takes fieldBytes of memory for each line and byteFactor times its size, while it
// is parsed, forwarded, or both. freeHeadBytes of that are a part of overheadBytes or of the
// connection.
const (
	fieldBytes    = 128
	byteFactor    = 4
	freeHeadBytes = 8 << 10
)

// headShare is the part of the budget, as a divisor, for all headers together.
const headShare = 4

// headerCost returns the memory that a header is charged.
func headerCost(size, lines int64) int64 {
	return max(byteFactor*size+fieldBytes*lines-freeHeadBytes, 0)
}

// Head is the memory of the header that a connection receives. It is safe for concurrent
// use.
type Head struct {
	budget *Budget

	mu      sync.Mutex
	reading bool
	size    int64
	lines   int64
	blank   bool  // no byte of the present line but a carriage return has come
	http2   int64 // charge of an HTTP/2 connection

	charged int64 // guarded by the budget's lock
}

// NewHead returns the header of a connection that receives none yet.
func (b *Budget) NewHead() *Head {
	return &Head{budget: b}
}

// Begin starts the next header of the connection. If the connection turns out to be an HTTP/2
// one without TLS, it is charged a fixed number of bytes instead, as Hold does.
func (h *Head) Begin(http2 int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading, h.size, h.lines, h.blank, h.http2 = true, 0, 0, false, http2
}

// http2Preface begins the bytes of a client's HTTP/2 connection.
var http2Preface = []byte("PRI * HTTP/2.0")

// Receive counts bytes as long as they belong to a header. It returns false if the budget has
// no memory for it.
func (h *Head) Receive(p []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading {
		return true
	}
	if h.size == 0 && bytes.HasPrefix(p, http2Preface) {
		h.reading = false
		return h.budget.chargeHead(h, h.http2)
	}
	h.count(p)
	cost := headerCost(h.size, h.lines)
	return cost == 0 || h.budget.chargeHead(h, cost)
}

// count counts bytes up to the empty line that ends the header.
func (h *Head) count(p []byte) {
	for h.reading && len(p) > 0 {
		line := p
		end := bytes.IndexByte(p, '\n')
		if end >= 0 {
			line = p[:end+1]
		}
		p = p[len(line):]
		h.size += int64(len(line))
		h.blank = h.blank && len(bytes.Trim(line, "\r\n")) == 0
		if end < 0 {
			return
		}
		h.lines++
		h.reading = !h.blank
		h.blank = true // so far
	}
}

// Receiving reports whether a part of a header has come.
func (h *Head) Receiving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reading && h.size > 0
}

// Hold charges a fixed number of bytes in place of the header, until End.
func (h *Head) Hold(bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
	return h.budget.chargeHead(h, bytes)
}

// End returns the memory. What belongs to the connection from now on is no header.
func (h *Head) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
	h.budget.chargeHead(h, 0)
}

// takeHead charges the parsed header of a request, until the request's body is released.
// The error carries codes.UploadsFull.
func (b *Budget) takeHead(r *http.Request) (*Head, error) {
	lines, size := int64(0), int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			lines++
			size += int64(len(name) + len(v))
		}
	}
	cost := headerCost(size, lines)
	if cost == 0 {
		return nil, nil
	}
	h := b.NewHead()
	if !b.chargeHead(h, cost) {
		return nil, codes.New(codes.UploadsFull, "no memory for a header of %d bytes in %d fields", size, lines)
	}
	return h, nil
}

// chargeHead sets the charge of a header. It returns false, and changes nothing, if the
// budget has no memory for it. A single header is taken in any case.
func (b *Budget) chargeHead(h *Head, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	more := to - h.charged
	fits := b.heads+more <= b.total/headShare && b.used+b.garbage+more <= b.total
	if more > 0 && !fits && b.heads > h.charged {
		b.refusedHeads++
		return false
	}
	h.charged = to
	b.heads += more
	b.used += more
	if more < 0 {
		b.grantWaiting()
	}
	return true
}

// RefusedHeads returns the number of headers for which there was no memory.
func (b *Budget) RefusedHeads() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusedHeads
}
