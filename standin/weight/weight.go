// Package weight is a stand-in for the rate-limited store of model weights.
package weight

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"

	sardine "sardineswitch.dev/sardine"
)

const (
	defaultRate = 64 << 20 // bytes per second
	defaultSize = 8 << 20  // bytes of one member's share
	chunkBytes  = 256 << 10
)

// Store delivers weights at one rate that all readers share.
type Store struct {
	limiter   *rate.Limiter
	size      int
	sizes     map[sardine.ModelName]int
	loads     atomic.Int64
	delivered atomic.Int64
}

// Option sets a property of a Store.
type Option func(*Store)

// WithRate sets the store's rate in bytes per second.
func WithRate(bytesPerSecond int) Option {
	return func(s *Store) { s.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes) }
}

// WithSize sets the bytes that one member loads of a model for which
// WithModelSize sets no size.
func WithSize(bytes int) Option {
	return func(s *Store) { s.size = bytes }
}

// WithModelSize sets the bytes that one member loads of the given model.
func WithModelSize(m sardine.ModelName, bytes int) Option {
	return func(s *Store) { s.sizes[m] = bytes }
}

// New returns a store with the default rate and size, unless options set them.
func New(options ...Option) *Store {
	s := &Store{
		limiter: rate.NewLimiter(rate.Limit(defaultRate), chunkBytes),
		size:    defaultSize,
		sizes:   map[sardine.ModelName]int{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Load returns when one member's share of the model has been delivered at the
// shared rate, or earlier with an error if ctx ends.
func (s *Store) Load(ctx context.Context, m sardine.ModelName, _ string) error {
	return s.deliver(ctx, m, func(int) error { return nil })
}

// CompletedLoads returns the number of completed loads.
func (s *Store) CompletedLoads() int64 {
	return s.loads.Load()
}

// DeliveredBytes returns the number of delivered bytes.
func (s *Store) DeliveredBytes() int64 {
	return s.delivered.Load()
}

// Size returns the bytes that one member loads of a model.
func (s *Store) Size(m sardine.ModelName) int {
	if n, known := s.sizes[m]; known {
		return n
	}
	return s.size
}

// deliver calls write with the size of each chunk, once the rate limit allows it.
func (s *Store) deliver(ctx context.Context, m sardine.ModelName, write func(n int) error) error {
	for left := s.Size(m); left > 0; left -= chunkBytes {
		n := min(left, chunkBytes)
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if err := write(n); err != nil {
			return err
		}
		s.delivered.Add(int64(n))
	}
	s.loads.Add(1)
	return nil
}
