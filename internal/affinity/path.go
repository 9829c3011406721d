package affinity

import (
	"math"
	"time"
)

const (
	// pathHalfLife is the time after which an answer counts half.
	pathHalfLife = 250 * time.Millisecond
	// priorTransmissions and minLossRate are the weight and the value of the loss rate that is assumed without observations.
	priorTransmissions = 20
	minLossRate        = 0.01
	// severalEndpointsWithin is how long the last losses at two endpoints may be apart. An endpoint that stands still for a moment makes
	// its own answers late, which says nothing about the path to others.
	severalEndpointsWithin = time.Second
	// maxChance is the probability up to which a series of losses on the path counts as impossible. Without losses
	// otherwise, three transmissions without an answer are enough.
	maxChance = 1.01e-6
	// maxLossRate is the loss rate above which no series of losses counts as impossible: the losses of a full link come in
	// bursts, so they are not independent, and the estimate lags behind by a retransmission.
	maxLossRate = 0.03
	// aliveAfter is how long after a transmission an answer to another flow shows that the endpoint would have answered the
	// transmission. An earlier answer may come from an endpoint that has failed with the request in progress. Callers retransmit
	// after 200 ms at the earliest.
	aliveAfter = 100 * time.Millisecond
)

// pathHealth estimates how many of the packets of callers are lost on the path through this host: a full link drops
// packets, also those to endpoints that work well. A retransmission shows a loss if the endpoint is alive: it has answered
// another flow well after the previous transmission, or it answers the retransmission. A failed endpoint gives no such
// answers, so its failure does not count as loss.
type pathHealth struct {
	transmissions, lost float64 // decayed
	at                  time.Duration
	lossEndpoint        uint64        // ID of the endpoint of the last loss; 0 before
	severalAt           time.Duration // when a loss last followed one at another endpoint
	hasSeveral          bool          // severalAt is set
}

// record records transmissions to an endpoint, of which some were lost though it is alive.
func (h *pathHealth) record(now time.Duration, endpoint uint64, transmissions, lost int) {
	h.decayTo(now)
	if lost > 0 {
		if h.lossEndpoint != 0 && h.lossEndpoint != endpoint {
			h.severalAt, h.hasSeveral = now, true
		}
		h.lossEndpoint = endpoint
	}
	h.transmissions += float64(transmissions)
	h.lost += float64(lost)
}

func (h *pathHealth) decayTo(now time.Duration) {
	if elapsed := now - h.at; elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(pathHalfLife))
		h.transmissions, h.lost, h.at = h.transmissions*factor, h.lost*factor, now
	}
}

// lossRate returns the share of the transmissions that are lost.
func (h *pathHealth) lossRate(now time.Duration) float64 {
	h.decayTo(now)
	if !h.hasSeveral || now-h.severalAt > severalEndpointsWithin {
		return minLossRate
	}
	return max(minLossRate, (h.lost+minLossRate*priorTransmissions)/(h.transmissions+priorTransmissions))
}

// isReliable reports whether a transmission without an answer says anything about the endpoint.
func (h *pathHealth) isReliable(now time.Duration) bool { return h.lossRate(now) <= maxLossRate }

// PathLosses returns the share of the packets that are lost on the path through this host, and whether it is so high that the lack
// of answers says nothing about endpoints.
func (e *Engine) PathLosses(now time.Duration) (share float64, isHigh bool) {
	return e.path.lossRate(now), !e.path.isReliable(now)
}

// canExplain reports whether losses on the path may be the reason for a series of transmissions without an answer.
func (h *pathHealth) canExplain(now time.Duration, unanswered int) bool {
	return !h.isReliable(now) || math.Pow(h.lossRate(now), float64(unanswered)) > maxChance
}
