package cluster

import (
	"time"

	"cassiawood/internal/registry"
)

const (
	// peerLifetime is how long after its last message another control host counts as running. Two
	// signs of life may be missing.
	peerLifetime = 3 * signOfLifeInterval
	// steerInterval is the time during which an endpoint that has come back from the control host that it
	// was sent to is not sent there again: it cannot reach it.
	steerInterval = 10 * time.Second
)

// steering decides to which control host each endpoint reports: to one in its own failure domain. When
// that domain is cut off, the endpoints go on reporting to a host on their side of the cut. Otherwise they fall
// silent there until they have tried the hosts that they cannot reach any more, and the callers of the domain
// find its endpoints out of use just when they have no others.
type steering struct {
	heardAt map[string]time.Duration // last message by address of the control host
	sentAt  map[uint64]time.Duration // when an endpoint was last sent to another host, by endpoint ID
}

func newSteering() steering {
	return steering{heardAt: map[string]time.Duration{}, sentAt: map[uint64]time.Duration{}}
}

// expire forgets hosts and endpoints that no longer matter.
func (s *steering) expire(now time.Duration) {
	for address, at := range s.heardAt {
		if now-at > peerLifetime {
			delete(s.heardAt, address)
		}
	}
	for id, at := range s.sentAt {
		if now-at > steerInterval {
			delete(s.sentAt, id)
		}
	}
}

// reportAddress returns the address of the control host to which the endpoint should report from now on.
func (d *stateDuty) reportAddress(e registry.Endpoint) string {
	if _, cameBack := d.steering.sentAt[e.ID]; cameBack || e.Domain == d.self.Domain {
		return d.self.Address
	}
	var running []string
	for _, m := range d.status.Members {
		domain := m.Domain
		if domain == "" {
			domain = d.memberDomains[m.ID]
		}
		_, isLeaving := d.leavingSaidAt[m.ID]
		if at, heard := d.steering.heardAt[m.Address]; domain == e.Domain && heard && !isLeaving && d.now-at <= peerLifetime {
			running = append(running, m.Address)
		}
	}
	if len(running) == 0 {
		return d.self.Address
	}
	d.steering.sentAt[e.ID] = d.now
	return running[e.ID%uint64(len(running))]
}
