package registry

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Bounds of a plausible report. An entry beyond them was not written by a backend server, and one of
// them could take all new flows or make the entries of others unusable.
const (
	// maxNameBytes bounds the names of endpoints, services and failure domains.
	maxNameBytes = 256
	// maxSlots bounds the requests that an endpoint handles at a time: the load per flow of an endpoint
	// with more slots would be close to 0, so that it took every new flow.
	maxSlots = 1 << 16
	// maxColdTime bounds the slow start of an endpoint, which lasts seconds.
	maxColdTime = time.Hour
	// maxSeq is the highest integer that a JSON number carries exactly.
	maxSeq = 1 << 53
	// maxStartedAtMs is the end of the year 9999. Later times cannot be written as a date.
	maxStartedAtMs = 253402300799999
)

// Check returns why an endpoint in slow start for coldFor cannot be a report of a backend server, or
// nil if it can. An endpoint that is gone needs an ID only.
func (e Endpoint) Check(coldFor time.Duration) error {
	var findings []error
	add := func(format string, args ...any) { findings = append(findings, fmt.Errorf(format, args...)) }
	if e.ID == 0 {
		add("the ID is 0")
	}
	for _, name := range [...]struct{ kind, text string }{{"name", e.Name}, {"service", e.Service}, {"failure domain", e.Domain}} {
		if len(name.text) > maxNameBytes || !utf8.ValidString(name.text) {
			add("the %s is not UTF-8 of at most %d bytes", name.kind, maxNameBytes)
		}
	}
	if e.State < Ready || e.State > Gone {
		add("unknown state %d", uint8(e.State))
	}
	if e.StartedAtMs < 0 || e.StartedAtMs > maxStartedAtMs {
		add("the start time of %d ms is not from 0 to %d", e.StartedAtMs, int64(maxStartedAtMs))
	}
	if seq := max(e.Seq, e.RemovalSeq, e.ColdSeq); seq > maxSeq {
		add("the sequence number %d is above %d", seq, int64(maxSeq))
	}
	if e.State != Gone {
		findings = append(findings, e.checkInUse(coldFor)...)
	}
	return errors.Join(findings...)
}

// checkInUse checks the fields of an endpoint that has not left.
func (e Endpoint) checkInUse(coldFor time.Duration) []error {
	var findings []error
	if e.Service == "" || e.Domain == "" {
		findings = append(findings, errors.New("the service and the failure domain must not be empty"))
	}
	if a := e.Address.Addr(); !a.Is4() || a.IsUnspecified() || a.IsMulticast() || e.Address.Port() == 0 {
		findings = append(findings, fmt.Errorf("%s is not the IPv4 address and port of a host", e.Address))
	}
	if e.Slots == 0 || e.Slots > maxSlots {
		findings = append(findings, fmt.Errorf("%d slots are not from 1 to %d", e.Slots, maxSlots))
	}
	if coldFor < 0 || coldFor > maxColdTime {
		findings = append(findings, fmt.Errorf("a slow start of %s is not from 0 to %s", coldFor, maxColdTime))
	}
	return findings
}
