// Package settings defines the settings of one entry VM process, which are read at its start.
//
// Settings that all VMs share are in the operators' configuration instead (package config).
//
// # Usage
//
//	s, problems := settings.Decode(data)
//	problems = append(problems, s.Check()...)
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
	"github.com/hickorylug/hickorylug/state/unit"
)

// Settings holds the settings of one entry VM process.
type Settings struct {
	// VM is the name of the entry VM, unique within the site.
	VM            id.VM
	Site          id.Site
	FailureDomain id.Domain
	// CallerAddress is the address that accepts callers' requests.
	CallerAddress string
	// PeerAddress is the TCP and UDP address at which other entry VMs reach this one.
	PeerAddress string
	// OperatorAddress is the address that serves health and metrics to operators.
	OperatorAddress string
	// Store is the base URL of the platform's key-value store.
	Store string
	// VMList is the base URL of the platform's list of VMs. The default is Store.
	VMList string
	// Peers lists peer addresses of entry VMs to which this VM sends a heartbeat at its start, so that it can join the
	// others while the platform is unreachable.
	Peers []string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TraceShare is the share of requests that are traced, from 0 to 1.
	TraceShare float64
	// DrainDelay is the time between the announcement of a planned stop and the end of accepting connections.
	DrainDelay unit.Duration
	// DrainTimeout is the maximum time for requests in flight to finish in a planned stop.
	DrainTimeout unit.Duration
	// IdleTimeout is the maximum idle time of a caller's connection.
	IdleTimeout unit.Duration
	// MaxHeader is the maximum size of a request's header.
	MaxHeader unit.Size
	// StoreReads is the maximum rate of store reads by all VMs together, per second.
	StoreReads float64
	// StoreWrites is the maximum rate of store writes by all VMs together, per second.
	StoreWrites float64
}

// levelInfo is the default log level.
const levelInfo = "info"

// Default values of fields that the settings leave out.
const (
	defaultTraceShare   = 0.01
	defaultDrainDelay   = 2 * time.Second
	defaultDrainTimeout = 30 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultMaxHeader    = 64 << 10
	defaultStoreReads   = 1500
	defaultStoreWrites  = 300
)

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		LogLevel:     levelInfo,
		TraceShare:   defaultTraceShare,
		DrainDelay:   unit.Duration(defaultDrainDelay),
		DrainTimeout: unit.Duration(defaultDrainTimeout),
		IdleTimeout:  unit.Duration(defaultIdleTimeout),
		MaxHeader:    defaultMaxHeader,
		StoreReads:   defaultStoreReads,
		StoreWrites:  defaultStoreWrites,
	}
}

// Decode decodes settings over the defaults, without validating them. Settings.Check validates them.
func Decode(data []byte) (s Settings, problems strict.Problems) {
	s = Defaults()
	problems = strict.Decode(data, &s)
	if s.VMList == "" {
		s.VMList = s.Store
	}
	return s, problems
}

// Check returns all problems of the settings.
func (s Settings) Check() (problems strict.Problems) {
	checkRequired(&problems, "VM", string(s.VM))
	checkRequired(&problems, "Site", string(s.Site))
	checkRequired(&problems, "FailureDomain", string(s.FailureDomain))
	checkAddress(&problems, "CallerAddress", s.CallerAddress)
	checkAddress(&problems, "PeerAddress", s.PeerAddress)
	checkAddress(&problems, "OperatorAddress", s.OperatorAddress)
	checkBaseURL(&problems, "Store", s.Store)
	if s.VMList != "" {
		checkBaseURL(&problems, "VMList", s.VMList)
	}
	for _, p := range s.Peers {
		checkAddress(&problems, "Peers", p)
	}
	checkLevel(&problems, s.LogLevel)
	if s.TraceShare < 0 || s.TraceShare > 1 {
		problems.Add("TraceShare", "%v is not between 0 and 1", s.TraceShare)
	}
	checkPositive(&problems, "StoreReads", s.StoreReads)
	checkPositive(&problems, "StoreWrites", s.StoreWrites)
	return problems
}

func checkLevel(problems *strict.Problems, name string) {
	switch name {
	case "debug", levelInfo, "warn", "error":
	default:
		problems.Add("LogLevel", "%q is not one of debug, info, warn and error", name)
	}
}

func checkRequired(problems *strict.Problems, path, value string) {
	if value == "" {
		problems.Add(path, "the name is empty")
	}
}

func checkPositive(problems *strict.Problems, path string, value float64) {
	if value <= 0 {
		problems.Add(path, "%v is not above 0", value)
	}
}

func checkAddress(problems *strict.Problems, path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		problems.Add(path, "%q is not an IP address with a port, such as 10.0.0.7:8080", value)
	}
}

func checkBaseURL(problems *strict.Problems, path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		problems.Add(path, "%q is not a URL such as http://10.0.0.2:7000", value)
	}
}
