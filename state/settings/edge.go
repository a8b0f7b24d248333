package settings

import (
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
	"github.com/hickorylug/hickorylug/state/unit"
)

// Edge holds the settings of an entry VM on the users' platform.
type Edge struct {
	// VM is the name of the entry VM, unique within the site.
	VM            id.VM
	FailureDomain id.Domain
	// CallerAddress is the address that accepts callers' requests.
	CallerAddress string
	// ReadyAddress is the address of the readiness check, by which the platform learns whether the VM accepts connections.
	ReadyAddress string
	// PeerAddress is the TCP and UDP address at which other entry VMs reach this one.
	PeerAddress string
	// MetricsAddress is the address that serves metrics.
	MetricsAddress string
	// Store is the IP address and port of the platform's store.
	Store string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// GraceTime is the time between the stop signal and the end of the process.
	GraceTime unit.Duration
	// ServerHeartbeat is the time between two heartbeats of a backend server to the store.
	ServerHeartbeat unit.Duration
	// RetryShare is the token ratio of the retry budget: the retries that all VMs together may send for each request to a
	// service.
	RetryShare float64
	// RetrySlack is the number of retries that all VMs together may send beyond that share within RetryWindow.
	RetrySlack float64
	// RetryWindow is the time over which the platform measures the retries. The VM only checks that it is above 0.
	RetryWindow unit.Duration
	// WarmOverage is the factor, at least 1, by which requests to a backend server in warm-up may exceed its warm-up rate.
	WarmOverage float64
	// WarmSlack is the number of requests that it may get beyond that.
	WarmSlack float64
	// MaxHold is the maximum TTL of a grant to a backend server.
	MaxHold unit.Duration
	// Processor is the VM's share of a CPU core.
	Processor float64
	// Link is the VM's network bandwidth in Mbit/s.
	Link float64
	// Memory is the memory limit of the process.
	Memory unit.Size
}

// DecodeEdge decodes and validates the settings of an entry VM on the users' platform.
func DecodeEdge(data []byte) (s Edge, problems strict.Problems) {
	s = Edge{LogLevel: levelInfo}
	if problems = strict.Decode(data, &s); len(problems) > 0 {
		return s, problems
	}
	return s, s.Check()
}

// Check returns all problems of the settings.
func (s Edge) Check() (problems strict.Problems) {
	checkRequired(&problems, "VM", string(s.VM))
	checkRequired(&problems, "FailureDomain", string(s.FailureDomain))
	checkAddress(&problems, "CallerAddress", s.CallerAddress)
	checkAddress(&problems, "ReadyAddress", s.ReadyAddress)
	checkAddress(&problems, "PeerAddress", s.PeerAddress)
	checkAddress(&problems, "MetricsAddress", s.MetricsAddress)
	checkAddress(&problems, "Store", s.Store)
	checkLevel(&problems, s.LogLevel)
	checkPositive(&problems, "GraceTime", s.GraceTime.Std().Seconds())
	checkPositive(&problems, "RetryWindow", s.RetryWindow.Std().Seconds())
	checkPositive(&problems, "MaxHold", s.MaxHold.Std().Seconds())
	if s.RetryShare < 0 || s.RetryShare > 1 {
		problems.Add("RetryShare", "%v is not between 0 and 1", s.RetryShare)
	}
	if s.RetrySlack < 0 {
		problems.Add("RetrySlack", "%v is negative", s.RetrySlack)
	}
	if s.WarmOverage < 1 {
		problems.Add("WarmOverage", "%v is below 1", s.WarmOverage)
	}
	return problems
}
