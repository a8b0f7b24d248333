package fleet

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Bounds of what a backend server may say of itself.
const (
	// maxNameBytes is the greatest length of a name. The store's keys have at most 200 bytes; the longest prefix and suffix of a key that
	// holds a name, that of the record of a crash, need 35.
	maxNameBytes = 160
	// maxStart is the last millisecond of the year 9999, the latest that RFC 3339 can express.
	maxStart StartTime = 253402300799999
	// maxSlots is the number of ports of a caller: each slot needs a connection.
	maxSlots = 1 << 16
	// maxWarmup is far above the time for which a process can be cold, and far below the longest duration, so that sums don't overflow.
	maxWarmup = 24 * time.Hour
)

// Check returns an error that names the first field with which a backend server can't be used, or nil.
func (s Server) Check() error {
	switch {
	case strings.Contains(string(s.Server), "/"):
		return errors.New("Server: the name has a slash")
	case s.Born < 1 || s.Born > maxStart:
		return errors.Newf("Born: %d is no start time in Unix milliseconds", s.Born)
	case s.Slots < 1 || s.Slots > maxSlots:
		return errors.Newf("Slots: %d is not from 1 to %d", s.Slots, maxSlots)
	case s.WarmupLeft < 0 || s.WarmupLeft > maxWarmup:
		return errors.Newf("WarmupLeft: %s is not from 0 to %s", s.WarmupLeft, maxWarmup)
	}
	for _, n := range []struct{ field, name string }{
		{"Server", string(s.Server)}, {"Service", string(s.Service)}, {"Domain", string(s.Domain)}, {"Version", string(s.Version)},
	} {
		// An empty version is one that isn't known.
		if err := checkName(n.name); err != nil && (n.name != "" || n.field != "Version") {
			return errors.Wrap(err, n.field)
		}
	}
	address, err := ParseAddress(s.Address)
	if err == nil && address != s.Address {
		err = errors.Newf("%s is another spelling of %s", s.Address, address)
	}
	return errors.Wrap(err, "Address")
}

// checkName returns why a name can't be used. Names are sent in header fields and are parts of the store's keys.
func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("the name is empty")
	case len(name) > maxNameBytes:
		return errors.Newf("the name has %d bytes; %d are allowed", len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsRune(name, utf8.RuneError):
		return errors.New("the name is not valid UTF-8")
	case strings.TrimSpace(name) != name:
		return errors.New("the name begins or ends with a blank")
	case strings.ContainsFunc(name, unicode.IsControl):
		return errors.New("the name has a control character")
	default:
		return nil
	}
}

// thisNetwork holds the IPv4 addresses that are never a destination (RFC 1122, section 3.2.1.3).
var thisNetwork = netip.MustParsePrefix("0.0.0.0/8")

// ParseAddress returns the usual spelling of an address of the form IP:port to which all VMs can connect, or why there is none.
func ParseAddress(text string) (address string, err error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", err
	}
	ip := a.Addr().Unmap()
	switch {
	case a.Port() == 0:
		return "", errors.New("the port is 0")
	case ip.Zone() != "" || ip.Is6() && ip.IsLinkLocalUnicast():
		return "", errors.Newf("%s has a meaning on one machine only", ip)
	case ip.IsUnspecified() || thisNetwork.Contains(ip):
		return "", errors.Newf("%s names no machine", ip)
	case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return "", errors.Newf("%s names several machines", ip)
	default:
		return netip.AddrPortFrom(ip, a.Port()).String(), nil
	}
}
