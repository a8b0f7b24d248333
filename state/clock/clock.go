// Package clock gives the time to everything that decides by it.
//
// Leases are compared with Boot readings only: they go on while the machine is
// suspended and don't follow changes of the wall clock.
//
// # Usage
//
//	deadline := c.Boot().Add(lease)
//	if c.Boot().After(deadline) {
//		// The lease has lapsed.
//	}
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a clock that counts suspended time, since an arbitrary origin.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }

// Clock is the source of time of a process.
type Clock interface {
	// Now returns the wall clock's time.
	Now() time.Time
	// Boot returns a reading that counts suspended time and never jumps.
	Boot() Instant
	// After returns a channel that receives once, when d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// System is the operating system's clock.
type System struct{}

// Now returns the wall clock's time.
func (System) Now() time.Time { return time.Now() }

// Boot reads CLOCK_BOOTTIME.
func (System) Boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return Instant(ts.Nano())
}

// After waits for d by the runtime's timers.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f after d by the runtime's timers.
func (System) AfterFunc(d time.Duration, f func()) (stop func()) { return afterFunc(d, f) }

func afterFunc(d time.Duration, f func()) (stop func()) {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// Runtime is the Go runtime's own clock, which testing/synctest can replace.
type Runtime struct{ Origin time.Time }

// Now returns the runtime's time.
func (Runtime) Now() time.Time { return time.Now() }

// Boot returns the time since the origin.
func (r Runtime) Boot() Instant { return Instant(time.Since(r.Origin)) }

// After waits for d by the runtime's timers.
func (Runtime) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f after d by the runtime's timers.
func (Runtime) AfterFunc(d time.Duration, f func()) (stop func()) { return afterFunc(d, f) }
