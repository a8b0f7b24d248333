//go:build review

package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
)

// prefixVM is the prefix of the store's keys at which VMs register.
const prefixVM = "hickorylug/vm/"

// WithNetwork puts a proxy in front of each VM and each backend server, so that they can be cut from each other. The registrations of VMs and the
// entries of backend servers name the proxies.
func WithNetwork() Option {
	return func(d *Deployment) {
		d.Network = faultproxy.NewNetwork(d.ownerOf)
		store := d.storeHandler
		d.storeHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/kv-txn") {
				data, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				r.Body = io.NopCloser(bytes.NewReader(d.withProxies(data)))
			}
			store.ServeHTTP(w, r)
		})
	}
}

// withProxies returns a transaction in which the VMs that register have the addresses of their proxies.
func (d *Deployment) withProxies(data []byte) []byte {
	var t map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if decoder.Decode(&t) != nil {
		return data
	}
	puts, _ := t["Puts"].([]any)
	for _, p := range puts {
		put, _ := p.(map[string]any)
		key, _ := put["Key"].(string)
		name, isRegistration := strings.CutPrefix(key, prefixVM)
		text, _ := put["Value"].(string)
		var value []byte
		if !isRegistration || json.Unmarshal([]byte(`"`+text+`"`), &value) != nil {
			continue
		}
		var registration map[string]any
		if json.Unmarshal(value, &registration) != nil {
			continue
		}
		registration["Address"] = d.Network.Address(name)
		if changed, err := json.Marshal(registration); err == nil {
			put["Value"] = changed
		}
	}
	changed, err := json.Marshal(t)
	if err != nil {
		return data
	}
	return changed
}

// ownerOf returns the name of the VM that a TCP connection to a proxy comes from, or "".
func (d *Deployment) ownerOf(client, proxy netip.AddrPort) string {
	socket := socketOf(client, proxy)
	d.mu.Lock()
	vms := slices.Clone(d.VMs)
	d.mu.Unlock()
	for _, v := range vms {
		if socket != "" && hasOpen(v.pid(), socket) {
			return v.Name
		}
	}
	return ""
}

// socketOf returns the client's end of a TCP connection, as it is listed among the open files of its process.
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
