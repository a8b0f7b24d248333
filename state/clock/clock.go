// Package clock provides the time source for everything that depends on time.
//
// Leases are compared with Boot readings only: these keep advancing while the
// machine is suspended and are unaffected by changes of the wall clock.
//
// # Usage
//
//	deadline := c.Boot().Add(lease)
//	if c.Boot().After(deadline) {
//		// The lease has expired.
//	}
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a monotonic clock that includes suspended time; its origin is arbitrary.
type Instant time.Duration

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }

// Clock is the time source of a process.
type Clock interface {
	// Now returns the wall clock time.
	Now() time.Time
	// Boot returns a monotonic reading that includes suspended time.
	Boot() Instant
	// After returns a channel that receives once, after d has elapsed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f after d, unless stop is called first.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// System is the clock of the operating system.
type System struct{}

// Now returns the wall clock time.
func (System) Now() time.Time { return time.Now() }

// Boot reads CLOCK_BOOTTIME. It panics if the clock can't be read.
func (System) Boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// After calls time.After.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f after d by time.AfterFunc.
func (System) AfterFunc(d time.Duration, f func()) (stop func()) { return afterFunc(d, f) }

func afterFunc(d time.Duration, f func()) (stop func()) {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// Runtime is the Go runtime's clock. In a testing/synctest bubble it reads the bubble's fake clock.
type Runtime struct{ Origin time.Time }

// Now calls time.Now.
func (Runtime) Now() time.Time { return time.Now() }

// Boot returns the time since Origin.
func (r Runtime) Boot() Instant { return Instant(time.Since(r.Origin)) }

// After calls time.After.
func (Runtime) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f after d by time.AfterFunc.
func (Runtime) AfterFunc(d time.Duration, f func()) (stop func()) { return afterFunc(d, f) }
