package http1

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of bodies that aren't read to their end.
var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrQuota means that the quota for long heads and bodies is used up.
	ErrQuota = errors.New("no memory is left for a long message")
)

const (
	// freeBodyBytes is the length up to which a body doesn't count towards the quota.
	freeBodyBytes = 16 << 10
	// maxGrowthBytes limits the growth of a body's buffer at once.
	maxGrowthBytes = 1 << 20
)

// Quota limits the memory for long heads and bodies that are being read at the same time. It is safe for concurrent use.
type Quota struct {
	limit int64
	used  atomic.Int64
}

// NewQuota returns a quota of the given number of bytes.
func NewQuota(limit int64) *Quota { return &Quota{limit: limit} }

// Used returns the number of bytes in use.
func (q *Quota) Used() int64 { return q.used.Load() }

// Take takes n bytes from the quota and reports whether they were available; a nil quota has no limit.
func (q *Quota) Take(n int) bool {
	if q == nil {
		return true
	}
	if q.used.Add(int64(n)) > q.limit {
		q.used.Add(-int64(n))
		return false
	}
	return true
}

// GiveBack gives n bytes back that were taken.
func (q *Quota) GiveBack(n int) {
	if q != nil {
		q.used.Add(-int64(n))
	}
}

// ReadBody reads a body of at most limit bytes. Beyond freeBodyBytes its buffer counts towards the quota until the body has
// been read; a nil quota has no limit.
func ReadBody(r io.Reader, limit int, q *Quota) (data []byte, err error) {
	taken := 0
	defer func() { q.GiveBack(taken) }()
	data = make([]byte, 0, 512)
	for {
		if len(data) == cap(data) {
			// The old and the new buffer exist at the same time while the data is copied.
			grown := cap(data) + min(cap(data), maxGrowthBytes)
			if grown > freeBodyBytes {
				if !q.Take(grown) {
					return nil, errors.Wrapf(ErrQuota, "after %d bytes", len(data))
				}
				taken += grown
			}
			next := make([]byte, len(data), grown)
			copy(next, data)
			data = next
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
