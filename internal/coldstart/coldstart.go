// Package coldstart limits the first packets that an endpoint gets during its slow start.
//
// An endpoint that has just started handles few requests. Entry hosts that each send it their share would overload it, and a host that is cut off
// would not know of the others. So an endpoint gets flows only from the host that holds the grant for its slow start, which one
// control host issues once.
package coldstart

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default bounds of a limit, in force where the settings file has none.
const (
	DefaultOvershoot = 1.5
	DefaultSlack     = 5
)

// Bounds relate the limit to the requests per second that a cold endpoint handles.
type Bounds struct {
	Overshoot float64 // factor
	Slack     float64 // first packets in addition
}

// Limit returns the number of first packets that an endpoint may get in any second, over all entry hosts, if it handles
// perSecond requests in a second.
func (b Bounds) Limit(perSecond float64) float64 { return perSecond*b.Overshoot + b.Slack }

// Share returns the first packets in any second that one grant allows. It is half of the limit, because two control hosts can both be
// the issuer while the membership changes.
func (b Bounds) Share(perSecond float64) uint32 {
	return uint32(min(max(math.Floor(b.Limit(perSecond)/2), 1), maxWindow))
}

// Incarnation identifies the endpoint that a grant is for.
type Incarnation struct {
	ID          uint64
	StartedAtMs int64
}

// weight returns the rendezvous weight of a host for the incarnation.
func (i Incarnation) weight(host string) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, i.ID)
	b = binary.LittleEndian.AppendUint64(b, uint64(i.StartedAtMs))
	return xxhash.Sum64(append(b, host...))
}

// Issuer returns the ID of the control host that issues the grant, 0 if there is none.
func Issuer(i Incarnation, members []uint64) uint64 {
	var issuer, highest uint64
	for _, id := range members {
		weight := i.weight(string(binary.LittleEndian.AppendUint64(nil, id)))
		if issuer == 0 || weight > highest || weight == highest && id < issuer {
			issuer, highest = id, weight
		}
	}
	return issuer
}

// Host is an entry host that may get a grant.
type Host struct{ Name, Domain string }

// Grantee returns the position of the host that gets the grant for an endpoint in the domain, -1 if there is none. Hosts in
// the domain come first.
func Grantee(i Incarnation, domain string, hosts []Host) int {
	best, isBestLocal, highest := -1, false, uint64(0)
	for at, h := range hosts {
		isLocal, weight := h.Domain == domain, i.weight(h.Name)
		if best < 0 || isLocal && !isBestLocal || isLocal == isBestLocal && weight > highest {
			best, isBestLocal, highest = at, isLocal, weight
		}
	}
	return best
}

// Window counts events in a sliding second.
type Window struct {
	times []time.Duration // of the latest events, a ring
	next  int             // position of the oldest one
}

// maxWindow bounds the memory for a window. No cold endpoint handles as many requests in a second.
const maxWindow = math.MaxUint16

// NewWindow returns a window that allows a number of events in any second.
func NewWindow(limit uint32) *Window {
	w := &Window{times: make([]time.Duration, min(limit, maxWindow))}
	for i := range w.times {
		w.times[i] = math.MinInt64 / 2
	}
	return w
}

// Limit returns the number of events that the window allows in any second.
func (w *Window) Limit() uint32 { return uint32(len(w.times)) }

// HasRoom reports whether one more event is allowed.
func (w *Window) HasRoom(now time.Duration) bool {
	return len(w.times) > 0 && now-w.times[w.next] > time.Second
}

// Add records an event.
func (w *Window) Add(now time.Duration) {
	if len(w.times) == 0 {
		return
	}
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
}
