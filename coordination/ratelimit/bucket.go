package ratelimit

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// startPause is how long a new bucket gives no token, since the backend server is still at work on what it got before.
const startPause = time.Second

// Bucket is a token bucket for one request at a time, whose rate may change. It is not safe for concurrent use.
type Bucket struct {
	rate Rate
	// tokens is the number of tokens at updatedAt, at most 1.
	tokens    float64
	updatedAt clock.Instant
}

// NewBucket returns a bucket with a rate of 0 that gives no token before startPause has passed.
func NewBucket(now clock.Instant) *Bucket { return &Bucket{updatedAt: now.Add(startPause)} }

// SetRate changes the rate. A rate of 0 empties the bucket.
func (b *Bucket) SetRate(now clock.Instant, rate Rate) {
	b.fill(now)
	if rate == 0 {
		b.tokens = min(b.tokens, 0)
	}
	b.rate = rate
}

func (b *Bucket) fill(now clock.Instant) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(1, b.tokens+float64(b.rate)*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// Never is the wait for a token that doesn't come.
const Never = time.Duration(math.MaxInt64)

// Wait returns the time until n tokens, one after another, can have been taken; 0 means now.
func (b *Bucket) Wait(now clock.Instant, n int) time.Duration {
	b.fill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 0 && now >= b.updatedAt:
		return 0
	case b.rate <= 0:
		return Never
	default:
		return max(0, b.updatedAt.Sub(now)) + time.Duration(math.Ceil(max(0, missing)/float64(b.rate)*float64(time.Second)))
	}
}

// Take takes a token.
func (b *Bucket) Take(now clock.Instant) {
	b.fill(now)
	b.tokens--
}
