package settings

import (
	"cmp"
	"time"

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
	// DrainTime is how long a backend server that leaves may still get requests; 0 means defaultDrainTime.
	DrainTime unit.Duration
	// StrictRevocation makes the VM refuse requests that need an API key while its configuration may be older than RevocationTime, since
	// the key may have been revoked.
	StrictRevocation bool
	// RevocationTime is the age of the VM's latest information from the store from which StrictRevocation applies; 0 means
	// defaultRevocationTime.
	RevocationTime unit.Duration
	// AllotmentWindow is the time over which the platform measures the requests of a customer; 0 means defaultAllotmentWindow.
	AllotmentWindow unit.Duration
	// AllotmentOverage is the fraction of an allotment, and AllotmentSlack the number of requests, by which a customer may exceed it in a
	// window because the VMs know each other's use only late.
	AllotmentOverage float64
	AllotmentSlack   float64
	// Processor is the VM's share of a CPU core.
	Processor float64
	// Link is the VM's network bandwidth in Mbit/s.
	Link float64
	// Memory is the memory limit of the process.
	Memory unit.Size
}

// Defaults for platforms that don't set a value.
const (
	defaultDrainTime       = unit.Duration(2 * time.Second)
	defaultRevocationTime  = unit.Duration(5 * time.Second)
	defaultAllotmentWindow = unit.Duration(5 * time.Second)
)

// DecodeEdge decodes and validates the settings of an entry VM on the users' platform.
func DecodeEdge(data []byte) (s Edge, problems strict.Problems) {
	s = Edge{LogLevel: levelInfo}
	if problems = strict.Decode(data, &s); len(problems) > 0 {
		return s, problems
	}
	s = s.WithDefaults()
	return s, s.Check()
}

// WithDefaults returns the settings with the defaults of the times that are not set.
func (s Edge) WithDefaults() Edge {
	s.DrainTime = cmp.Or(s.DrainTime, defaultDrainTime)
	s.RevocationTime = cmp.Or(s.RevocationTime, defaultRevocationTime)
	s.AllotmentWindow = cmp.Or(s.AllotmentWindow, defaultAllotmentWindow)
	return s
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
	if s.AllotmentOverage < 0 {
		problems.Add("AllotmentOverage", "%v is negative", s.AllotmentOverage)
	}
	if s.AllotmentSlack < 0 {
		problems.Add("AllotmentSlack", "%v is negative", s.AllotmentSlack)
	}
	if s.WarmOverage < 1 {
		problems.Add("WarmOverage", "%v is below 1", s.WarmOverage)
	}
	return problems
}
