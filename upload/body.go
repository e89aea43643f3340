package upload

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Sizes of the buffer of a body whose length is not known in advance. Beyond mediumBuffer
// the largest allowed size is reserved, and the buffer doubles as bytes come.
const (
	firstBuffer  = 4 << 10
	mediumBuffer = 64 << 10
)

// Body is a request's body in memory, with its header if that is long. Release returns its
// memory to the budget.
type Body struct {
	budget    *Budget
	interrupt func() // makes the read in progress fail
	bytes     []byte
	head      *Head // nil for a short header

	// Guarded by the budget's lock.
	reserved    int64
	pace        pace
	interrupted bool
}

// Bytes returns the whole body.
func (y *Body) Bytes() []byte {
	return y.bytes
}

// Release returns the memory. It may be called again, and on nil.
func (y *Body) Release() {
	if y != nil {
		if y.head != nil {
			y.head.End()
		}
		y.bytes = nil // what still refers to the Body doesn't keep the buffer
		y.budget.release(y)
	}
}

// Read reads the body of a request up to limit bytes. It waits for memory until patience
// has passed, each time that the body needs more. Errors carry codes.TooLarge,
// codes.UploadsFull, codes.SlowRequest if the body came too slowly while others waited or
// the connection's read deadline passed, or codes.BadRequest.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64, patience sardine.Millis) (*Body, error) {
	if r.ContentLength > limit {
		return nil, codes.New(codes.TooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	control := http.NewResponseController(w)
	y := &Body{budget: b, interrupt: func() {
		_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}}
	var err error
	if y.head, err = b.takeHead(r); err == nil {
		err = y.read(r, limit, patience)
	}
	if err != nil {
		y.Release()
		return nil, err
	}
	if interrupted := b.complete(y, overheadBytes+int64(cap(y.bytes))); interrupted {
		_ = control.SetReadDeadline(time.Time{}) // its last bytes came at the same moment
	}
	return y, nil
}

func (y *Body) read(r *http.Request, limit int64, patience sardine.Millis) error {
	size, most := r.ContentLength, r.ContentLength
	if size < 0 {
		size, most = min(firstBuffer, limit), limit
	}
	for {
		if err := y.grow(r, size, most, patience); err != nil {
			return err
		}
		if r.Body == nil || r.Body == http.NoBody {
			return nil
		}
		if err := y.fill(r.Body); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return y.failure(err)
		}
		if size == most {
			return y.expectEnd(r.Body, limit)
		}
		size = nextBuffer(size, most)
	}
}

// grow enlarges the buffer to so many bytes, after it has reserved the memory.
func (y *Body) grow(r *http.Request, size, most int64, patience sardine.Millis) error {
	reserved := size
	if size > mediumBuffer {
		reserved = most
	}
	if err := y.budget.reserve(y, overheadBytes+reserved, patience, r.Context().Done()); err != nil {
		return err
	}
	y.budget.discard(int64(cap(y.bytes)))
	y.bytes = append(make([]byte, 0, size), y.bytes...)
	return nil
}

// nextBuffer returns the size of the buffer after one of the given size.
func nextBuffer(size, most int64) int64 {
	if size < mediumBuffer {
		return min(mediumBuffer, most)
	}
	return min(2*size, most)
}

// fill reads until the buffer is full.
func (y *Body) fill(r io.Reader) error {
	for len(y.bytes) < cap(y.bytes) {
		n, err := r.Read(y.bytes[len(y.bytes):cap(y.bytes)])
		y.bytes = y.bytes[:len(y.bytes)+n]
		y.budget.received(y, n)
		if err != nil {
			return err
		}
	}
	return nil
}

// expectEnd reads the end of a body after its last allowed byte.
func (y *Body) expectEnd(r io.Reader, limit int64) error {
	n, err := io.ReadFull(r, make([]byte, 1))
	switch {
	case n > 0:
		return codes.New(codes.TooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return y.failure(err)
	}
}

// failure returns the error of a read that failed.
func (y *Body) failure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return codes.New(codes.SlowRequest, "the body stopped after %d bytes", len(y.bytes))
	}
	return codes.New(codes.BadRequest, "the body ended after %d bytes: %v", len(y.bytes), err)
}
