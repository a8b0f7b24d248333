// Package unit provides durations and sizes that are written in JSON as text with a unit.
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

// Duration is a time.Duration that is encoded as text, for example "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the duration in the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes the format of time.ParseDuration. It returns an error for negative values.
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

// Size is a number of bytes that is encoded as text, for example "1MiB".
type Size uint64

// Int64 returns the size in bytes.
func (s Size) Int64() int64 { return int64(s) }

// String formats the size with a binary unit.
func (s Size) String() string { return humanize.IBytes(uint64(s)) }

// MarshalText encodes the size with a binary unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a number with an optional unit; without a unit it is in bytes.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := humanize.ParseBytes(string(text))
	if err != nil {
		return errors.Newf("%q is not a size such as \"64KiB\" or \"1MiB\"", text)
	}
	*s = Size(v)
	return nil
}
