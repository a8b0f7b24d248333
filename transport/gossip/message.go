package gossip

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/allotment"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Message is the content of one datagram; parts that are nil are omitted.
type Message struct {
	From        id.VM          `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	Domain      id.Domain      `cbor:"3,keyasint"`
	Heartbeat   *Heartbeat     `cbor:"4,keyasint,omitempty"`
	Update      *fleet.Update  `cbor:"5,keyasint,omitempty"`
	Load        *Load          `cbor:"6,keyasint,omitempty"`
	Keys        []KeyCount     `cbor:"7,keyasint,omitempty"`
	// Crashes are crashes of backend servers with the requests that they had. Number 8 was a count of crashes by request.
	Crashes []Crash `cbor:"13,keyasint,omitempty"`
	// Relay asks the receiver to forward the message within its failure domain.
	Relay bool `cbor:"9,keyasint,omitempty"`
	// Paces are the paces of owners of keys, for the leader.
	Paces []Pace `cbor:"11,keyasint,omitempty"`
	// RequestLimits are observations of the request limits that backend servers name.
	RequestLimits []RequestLimit `cbor:"12,keyasint,omitempty"`
	// Ask asks the leader for tokens of customers' allotments, and Answer is the leader's answer.
	Ask    *allotment.Ask    `cbor:"14,keyasint,omitempty"`
	Answer *allotment.Answer `cbor:"15,keyasint,omitempty"`
	// Leaving are backend servers that have announced that they leave.
	Leaving []Leaving `cbor:"16,keyasint,omitempty"`
	// Warmups are backend servers that have said in health responses that they are cold.
	Warmups []Warmup `cbor:"17,keyasint,omitempty"`
	// LateEntries says that the entries of backend servers in the store may be old or late.
	LateEntries *LateEntries `cbor:"18,keyasint,omitempty"`
	// Fragment is a part of a longer message; the other parts of this one are omitted.
	Fragment *Fragment `cbor:"10,keyasint,omitempty"`
}

// Heartbeat reports a VM's state, its replica of the store and whether it is the leader.
type Heartbeat struct {
	// Position is the store revision up to which the VM's mirror is complete.
	Position id.Revision `cbor:"1,keyasint"`
	// StoreStaleness is the age of the leader's copy of the store, and at other VMs the time since the store last answered them or the leader.
	StoreStaleness time.Duration `cbor:"2,keyasint"`
	// Leading is set if the VM holds the leader record of Term.
	Leading bool        `cbor:"3,keyasint,omitempty"`
	Term    id.Revision `cbor:"4,keyasint,omitempty"`
	// Leaving is set if the VM is shutting down and has given up the leadership.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Granted lists the moving ranges whose grants were accepted by their new owners.
	Granted []Grant `cbor:"6,keyasint,omitempty"`
	// SettlingTime is how much longer removed entries of backend servers may reappear after an outage of the store.
	SettlingTime time.Duration `cbor:"7,keyasint,omitempty"`
	// StoreUnreachable is set if the VM has tried to reach the store and failed.
	StoreUnreachable bool `cbor:"8,keyasint,omitempty"`
	// Admissions limit the requests for keys whose owners are overloaded.
	Admissions []Admission `cbor:"9,keyasint,omitempty"`
	// HasAdmissions says that Admissions are all limits; other heartbeats leave them out.
	HasAdmissions bool `cbor:"10,keyasint,omitempty"`
	// GivesTokens is set if the VM leads and its build grants tokens of customers' allotments.
	GivesTokens bool `cbor:"11,keyasint,omitempty"`
	// KnownTerm is the highest term of a leader that the VM knows of.
	KnownTerm id.Revision `cbor:"12,keyasint,omitempty"`
	// Stamp is that of a VM that holds a term, or the newest one that the VM has read; earlier builds send none.
	Stamp *leader.Stamp `cbor:"13,keyasint,omitempty"`
}

// Admission limits the requests for a range of keys under a fence to a share, in thousandths.
type Admission struct {
	Service  id.Service  `cbor:"1,keyasint"`
	From     fleet.Key   `cbor:"2,keyasint"`
	To       fleet.Key   `cbor:"3,keyasint"`
	Fence    fleet.Fence `cbor:"4,keyasint"`
	PerMille int         `cbor:"5,keyasint"`
}

// Grant identifies a range whose new owner has accepted the grant, by service and fence.
type Grant struct {
	Service id.Service  `cbor:"1,keyasint"`
	Fence   fleet.Fence `cbor:"2,keyasint"`
}

// Load is the load of backend servers as observed by one VM.
type Load struct {
	Servers []ServerLoad `cbor:"1,keyasint"`
}

// ServerLoad is the load of one backend server as observed by one VM. InFlight counts the VM's own requests at it.
type ServerLoad struct {
	Server   id.Server `cbor:"1,keyasint"`
	InFlight int       `cbor:"2,keyasint"`
	// ServiceTime is the average service time of a request, in milliseconds; 0 means unknown.
	ServiceTime int `cbor:"3,keyasint,omitempty"`
	// Reported is the number of requests in the backend server's last load report, and ReportAge the age of that report,
	// in milliseconds.
	Reported  int `cbor:"4,keyasint,omitempty"`
	ReportAge int `cbor:"5,keyasint,omitempty"`
	// Slowdown is the service time on the backend server's machine, in percent of the usual one; 0 means unknown.
	Slowdown int `cbor:"7,keyasint,omitempty"`
	// HasReport is set if Reported is known.
	HasReport bool `cbor:"6,keyasint,omitempty"`
	// EjectedFor is how much longer the backend server is ejected because of failures, in milliseconds.
	EjectedFor int `cbor:"8,keyasint,omitempty"`
}

// KeyCount is the number of requests for a key since the preceding message.
type KeyCount struct {
	Service id.Service `cbor:"1,keyasint"`
	Key     fleet.Key  `cbor:"2,keyasint"`
	Count   int        `cbor:"3,keyasint"`
}

// Pace is the service time on the machine of a backend server, in percent of the usual one.
type Pace struct {
	Server   id.Server `cbor:"1,keyasint"`
	Slowdown int       `cbor:"2,keyasint"`
}

// RequestLimit is an observation of the request limit of an incarnation of a backend server.
type RequestLimit struct {
	Server id.Server       `cbor:"1,keyasint"`
	Born   fleet.StartTime `cbor:"2,keyasint"`
	// Rate is the limit in requests per second, or 0 for its end.
	Rate float64 `cbor:"3,keyasint"`
	// Age is the age of the observation, in milliseconds.
	Age int `cbor:"4,keyasint"`
}

// Leaving says that an incarnation of a backend server has announced that it leaves.
type Leaving struct {
	Server id.Server       `cbor:"1,keyasint"`
	Born   fleet.StartTime `cbor:"2,keyasint"`
	// Age is the time since the first response that announced it, in milliseconds.
	Age int `cbor:"3,keyasint,omitempty"`
}

// Warmup says that an incarnation of a backend server is cold.
type Warmup struct {
	Server id.Server       `cbor:"1,keyasint"`
	Born   fleet.StartTime `cbor:"2,keyasint"`
	// Left is the remaining warm-up time, in milliseconds.
	Left int `cbor:"3,keyasint"`
}

// LateEntries says that a VM had a sign that the entries of backend servers in the store may be old or late, so that they must be asked
// whether they are cold.
type LateEntries struct {
	// Age is the time since that sign, in milliseconds.
	Age int `cbor:"1,keyasint"`
}

// Crash reports the crash of a backend server's process and the requests that were in flight there, by fingerprint.
type Crash struct {
	Server id.Server       `cbor:"1,keyasint,omitempty"`
	Born   fleet.StartTime `cbor:"2,keyasint,omitempty"`
	// Age is the time since the crash, in milliseconds.
	Age      int                  `cbor:"3,keyasint,omitempty"`
	Suspects []poison.Fingerprint `cbor:"4,keyasint,omitempty"`
	// Cleared are requests that have run without a crash since they were reported.
	Cleared []poison.Fingerprint `cbor:"5,keyasint,omitempty"`
	// Version is the version of the process's software, or that on which Cleared have run.
	Version id.SoftwareVersion `cbor:"6,keyasint,omitempty"`
}

// maxCrashAge is the age of a crash, in milliseconds, from which it no longer matters.
const maxCrashAge = 3_600_000

// CrashOf returns a report as it is sent.
func CrashOf(r poison.Report) Crash {
	return Crash{Server: r.Process.Server, Born: r.Process.Born, Version: r.Version, Age: int(r.Age.Milliseconds()), Suspects: r.Suspects, Cleared: r.Cleared}
}

// ToReport returns a received report.
func (c Crash) ToReport() poison.Report {
	return poison.Report{
		Process: fleet.Incarnation{Server: c.Server, Born: c.Born}, Version: c.Version, Age: time.Duration(min(max(c.Age, 0), maxCrashAge)) * time.Millisecond, Suspects: c.Suspects, Cleared: c.Cleared,
	}
}
