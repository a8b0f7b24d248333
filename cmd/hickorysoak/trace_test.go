package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/worker"
)

// newVM returns a VM with a log.
func newVM(t *testing.T, name string, lines ...string) *vm {
	t.Helper()
	f, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	if _, err := f.WriteString(strings.Join(lines, "\n") + "\n"); err != nil {
		t.Fatal(err)
	}
	return &vm{name: name, log: f}
}

func TestLeaderIsTheLastOneByTheLogs(t *testing.T) {
	is := is.New(t)
	e := &environment{vms: []*vm{
		newVM(t, "vm0", `{"time":"2026-12-05T20:00:01.5Z","msg":"this VM leads","term":1}`, `{"time":"2026-12-05T20:00:09Z","msg":"this VM no longer leads"}`),
		newVM(t, "vm1", `{"time":"2026-12-05T20:00:03Z","msg":"this VM leads","term":2}`),
		newVM(t, "vm2", "no JSON"),
	}}
	is.Equal(e.leader(), e.vms[1])
	is.Equal((&environment{vms: e.vms[2:]}).leader(), nil)
}

func TestTraceHoldsTheLinesOfTheKeysInOrder(t *testing.T) {
	is := is.New(t)
	e := &environment{journal: worker.NewJournal(), vms: []*vm{
		newVM(t, "vm0",
			`{"time":"2026-12-05T20:00:04Z","msg":"keys have a new owner","service":"plans","from":100,"to":199,"server":"i-1"}`,
			`{"time":"2026-12-05T20:00:04Z","msg":"keys have a new owner","service":"plans","from":200,"to":300,"server":"i-1"}`,
			`{"time":"2026-12-05T20:00:04Z","msg":"keys have a new owner","service":"other","from":100,"to":199,"server":"i-1"}`,
			`{"time":"2026-12-05T19:00:04Z","msg":"keys were released","service":"plans","from":100,"to":199,"server":"i-1"}`,
			"no JSON"),
		newVM(t, "vm1",
			`{"time":"2026-12-05T20:00:03Z","msg":"this VM leads","term":2}`,
			`{"time":"2026-12-05T20:00:05Z","msg":"backend server restarted","server":"i-2"}`,
			`{"time":"2026-12-05T20:00:05Z","msg":"backend server restarted","server":"i-3"}`,
			`{"time":"2026-12-05T20:00:05Z","msg":"sending answered","service":"plans","server":"i-2"}`),
	}}
	begin := time.Date(2026, 12, 5, 20, 0, 5, 0, time.UTC)
	lines := e.trace(worker.Conflict{Service: "plans", From: 150, To: 160, Begin: begin, End: begin, Servers: [2]string{"i-1", "i-2"}})
	wanted := []string{"20:00:03.000 vm1", "20:00:04.000 vm0", "20:00:05.000 vm1"}
	is.Equal(len(lines), len(wanted))
	for i, line := range lines {
		is.True(strings.HasPrefix(line, wanted[i]))
	}
}

// VMs that found each other past the network couldn't be cut off.
func TestRegistrationsNameTheProxy(t *testing.T) {
	is := is.New(t)
	e := &environment{network: faultproxy.NewNetwork(nil)}
	defer e.network.Close()
	is.NoErr(e.network.Attach("vm1", "127.0.0.1:9"))
	type put struct {
		Key   string
		Value []byte
		Lease int64
	}
	type transaction struct {
		Expected []put
		Puts     []put
	}
	value := []byte(`{"VM":"vm1","Address":"127.0.0.1:9"}`)
	sent := transaction{Puts: []put{{Key: prefixVM + "vm1", Value: value, Lease: 1 << 60}, {Key: "hickorylug/leader", Value: value}}}
	data, err := json.Marshal(sent)
	is.NoErr(err)
	var got transaction
	is.NoErr(json.Unmarshal(e.replaceAddresses(data), &got))
	var registration map[string]string
	is.NoErr(json.Unmarshal(got.Puts[0].Value, &registration))
	is.Equal(registration, map[string]string{"VM": "vm1", "Address": e.network.Address("vm1")})
	is.Equal(got.Puts[0].Lease, sent.Puts[0].Lease)
	is.Equal(got.Puts[1], sent.Puts[1])
	is.Equal(string(e.replaceAddresses([]byte("no JSON"))), "no JSON")
}
