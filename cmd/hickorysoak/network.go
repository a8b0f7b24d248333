package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
)

// prefixVM is the prefix of the store's keys at which VMs register.
const prefixVM = "hickorylug/vm/"

// registerAtNetwork returns a handler of the store that replaces the address in the registrations of VMs by that of the VM's proxy, so that
// all VMs reach each other through the network.
func (e *environment) registerAtNetwork(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/kv-txn") {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(e.replaceAddresses(data)))
		}
		store.ServeHTTP(w, r)
	})
}

// replaceAddresses replaces the addresses of the VMs that register in a transaction.
func (e *environment) replaceAddresses(data []byte) []byte {
	var t map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if decoder.Decode(&t) != nil {
		return data
	}
	puts, _ := t["Puts"].([]any)
	isChanged := false
	for _, p := range puts {
		put, _ := p.(map[string]any)
		key, _ := put["Key"].(string)
		name, isRegistration := strings.CutPrefix(key, prefixVM)
		if !isRegistration {
			continue
		}
		value, err := json.Marshal(put["Value"])
		var text []byte
		if err != nil || json.Unmarshal(value, &text) != nil {
			continue
		}
		var registration map[string]any
		if json.Unmarshal(text, &registration) != nil {
			continue
		}
		registration["Address"] = e.network.Address(name)
		if text, err = json.Marshal(registration); err == nil {
			put["Value"], isChanged = text, true
		}
	}
	changed, err := json.Marshal(t)
	if !isChanged || err != nil {
		return data
	}
	return changed
}

// vmOf returns the name of the VM that a TCP connection comes from, or "" if it has ended.
func (e *environment) vmOf(client, proxy netip.AddrPort) string {
	socket := socketOf(client, proxy)
	if socket == "" {
		return ""
	}
	e.mu.Lock()
	vms := slices.Clone(e.vms)
	e.mu.Unlock()
	for _, v := range vms {
		v.mu.Lock()
		process := v.process
		v.mu.Unlock()
		if process != nil && hasOpen(process.Process.Pid, socket) {
			return v.name
		}
	}
	return ""
}

// socketOf returns the name of the socket that is the client's end of a TCP connection, as it is listed among the open files of its process.
func socketOf(client, server netip.AddrPort) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", client.Port())) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", server.Port())) {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// hasOpen reports whether a process has a file open.
func hasOpen(pid int, file string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(entries, func(entry os.DirEntry) bool {
		name, err := os.Readlink(filepath.Join(folder, entry.Name()))
		return err == nil && name == file
	})
}

// cutVMs cuts some VMs from all others for the duration d: one of them or half, both ways or one way, silently or with resets. Customers'
// keys and allotments don't change meanwhile, since a VM that is also cut off from the store can't know.
func (e *environment) cutVMs(random *rand.Rand, d time.Duration) {
	e.storeUse.RLock()
	defer e.storeUse.RUnlock()
	mode := []faultproxy.Mode{faultproxy.Stall, faultproxy.Reset}[random.IntN(2)]
	here := e.someVMs(random, []int{1, len(e.vms) / 2}[random.IntN(2)])
	out, in := true, true
	switch random.IntN(4) {
	case 0:
		out = false
	case 1:
		in = false
	}
	var names []string
	for _, v := range here {
		names = append(names, v.name)
	}
	e.notes.add("%s cut from the others for %s, messages out: %t, in: %t, reset: %t", strings.Join(names, " and "), d, out, in, mode == faultproxy.Reset)
	e.setLinks(here, out, in, mode)
	time.Sleep(d)
	e.setLinks(here, out, in, faultproxy.Pass)
}

// setLinks sets the fault of the links between some VMs and all others.
func (e *environment) setLinks(here []*vm, out, in bool, mode faultproxy.Mode) {
	for _, v := range here {
		for _, other := range e.vms {
			if slices.Contains(here, other) {
				continue
			}
			if out {
				e.network.Cut(v.name, other.name, mode)
			}
			if in {
				e.network.Cut(other.name, v.name, mode)
			}
		}
	}
}
