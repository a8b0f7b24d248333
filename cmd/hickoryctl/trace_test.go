package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testLog = `
  1.5 vm1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"backend server drains","vm":"vm1","server":"s1"}
not JSON
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"sending failed","vm":"vm1","request":"r1","server":"s1","sent":true}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request ended","vm":"vm1","request":"r1","service":"plans","status":502}
{"time":"2026-01-01T00:00:02.5Z","level":"INFO","msg":"request ended","vm":"vm1","request":"r2","service":"plans"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"backend server drains","vm":"vm1","server":"s2"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"leader is heard","vm":"vm2"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"leader is heard","vm":"vm1"}
{"time":"2025-12-31T23:59:00Z","level":"INFO","msg":"leader is heard","vm":"vm1"}
`

func TestTrace(t *testing.T) {
	tests := map[string]struct {
		id   string
		want []string
	}{
		"request with earlier state changes of its VM": {id: "r1", want: []string{"leader is heard", "backend server drains", "sending failed", "request ended"}},
		"another request at the same VM":               {id: "r2", want: []string{"leader is heard", "request ended"}},
		"unknown request":                              {id: "r3"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, err := readLog(strings.NewReader(testLog))
			is.NoErr(err)
			var got []string
			for _, line := range selectLines(lines, test.id) {
				got = append(got, line.message)
			}
			is.Equal(got, test.want)
		})
	}
}
