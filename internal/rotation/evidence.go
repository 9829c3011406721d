// Package rotation decides whether all packets of a flow have come through one entry host.
//
// The fabric spreads flows over the entry hosts in rotation in a failure domain, and may send a flow to another one whenever that set changes. A host
// sees the packets that come to it and nothing of the others. It knows what a caller has sent last only if the set has not changed since. That follows
// from statements of all hosts of the failure domain, each about itself, which the control hosts collect on request.
package rotation

import "time"

// settleTime is the time after the latest change until all packets come by the new set: two probes of the fabric, and the packets on their way.
const settleTime = time.Second

// Evidence is what a host has been told about the rotation in its failure domain.
type Evidence struct {
	// IsComplete says that all entry hosts of the failure domain have answered.
	IsComplete bool
	// UnchangedSince is when the set of hosts in rotation last changed, or an earlier time until which nothing is known, by the clock of this host.
	UnchangedSince time.Duration
}

// Verdict says what is known of a flow.
type Verdict uint8

// Verdicts.
const (
	Unmoved      Verdict = iota // all later packets have come through this host as well
	MayHaveMoved                // another host may have forwarded later packets
	Unknown                     // not all hosts have answered
	VerdictCount                // number of verdicts
)

var verdictNames = [VerdictCount]string{"unmoved", "may have moved", "unknown"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v%VerdictCount] }

// Judge returns what is known of a flow whose last packet came through this host at a time by the clock of this host.
func (e Evidence) Judge(lastPacketAt time.Duration) Verdict {
	switch {
	case !e.IsComplete:
		return Unknown
	case lastPacketAt <= e.UnchangedSince+settleTime:
		return MayHaveMoved
	}
	return Unmoved
}
