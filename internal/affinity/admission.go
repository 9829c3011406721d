package affinity

import (
	"math"
	"time"
)

const (
	// packetOverheadBytes is what a forwarded packet takes on the link besides its data: the headers of IP and UDP, the ID of the
	// endpoint and the head of the packet.
	packetOverheadBytes = 20 + 8 + 8 + 34
	// linkRateTime is the time constant of the measured rate. A full link begins to drop packets within about this time.
	linkRateTime = 200 * time.Millisecond
	// fullLinkShare is the share of the link's capacity from which new flows are refused, and refuseAllShare that from which
	// most are. Packets come in bursts, so a link drops some before its mean rate reaches its capacity.
	fullLinkShare  = 0.75
	refuseAllShare = 1.0
	// maxRefusedShare is the highest share of new flows that are refused for the link.
	maxRefusedShare = 0.7
)

// linkLoad measures the load of the link of this host.
type linkLoad struct {
	bytesPerSecond float64 // capacity; 0 if it is not known
	rate           float64 // decayed mean, in bytes a second
	at             time.Duration
}

// count adds a forwarded packet.
func (l *linkLoad) count(now time.Duration, p Packet) {
	l.decayTo(now)
	l.rate += float64(p.Length+packetOverheadBytes) / linkRateTime.Seconds()
}

func (l *linkLoad) decayTo(now time.Duration) {
	if now > l.at {
		l.rate, l.at = l.rateAt(now), now
	}
}

// rateAt returns the decayed mean at a time.
func (l *linkLoad) rateAt(now time.Duration) float64 {
	if now <= l.at {
		return l.rate
	}
	return l.rate * math.Exp(-(now-l.at).Seconds()/linkRateTime.Seconds())
}

// refusedShare returns the share of new flows to refuse. A caller that is refused at the first packet tries again at once from
// another port, and so mostly through another host, whose link may be wider or less loaded. Through a full link its
// packets would be lost, and repeated after 200 ms or more.
func (l *linkLoad) refusedShare(now time.Duration) float64 {
	if l.bytesPerSecond == 0 {
		return 0
	}
	use := l.rateAt(now) / l.bytesPerSecond
	return min(max((use-fullLinkShare)/(refuseAllShare-fullLinkShare), 0), 1) * maxRefusedShare
}

// uniform returns a number from 0 to 1 that differs between first packets.
func (e *Engine) uniform(p Packet) float64 {
	x := (uint64(p.Seq)<<16 | uint64(p.Caller.Port())) ^ e.seed
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	return float64((x^x>>32)>>11) / (1 << 53)
}
