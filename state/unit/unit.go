// Package unit holds quantities that people write with their unit in JSON.
//
// # Usage
//
//	var settings struct {
//		Timeout unit.Duration // "250ms"
//		Body    unit.Size     // "1MiB"
//	}
package unit

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
)

// Duration is a time.Duration that is written as text, for example "250ms".
type Duration time.Duration

// Std returns the duration as a standard time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in the notation of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the notation of time.ParseDuration and refuses negative values.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	if v < 0 {
		return errors.Newf("%q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// Size is a number of bytes that is written as text, for example "1MiB".
type Size uint64

// Int64 returns the number of bytes.
func (s Size) Int64() int64 { return int64(s) }

// String returns the size with a binary unit.
func (s Size) String() string { return humanize.IBytes(uint64(s)) }

// MarshalText writes the size with a binary unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a number with an optional unit.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := humanize.ParseBytes(string(text))
	if err != nil {
		return errors.Newf("%q is not a size such as \"64KiB\" or \"1MiB\"", text)
	}
	*s = Size(v)
	return nil
}
