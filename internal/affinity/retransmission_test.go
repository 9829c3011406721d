package affinity

import (
	"testing"
	"time"
)

// Guards against a caller that waits for an endpoint that has failed, one that loses its flow although the endpoint would
// answer, and a first packet at an endpoint that must not get it.
func TestCopyEvidenceDecides(t *testing.T) {
	const usual = 200 * time.Millisecond
	for _, c := range []struct {
		name     string
		evidence copyEvidence
		verdict  Verdict
		reason   Reason
	}{
		{"no sign of life", copyEvidence{Age: usual, Copies: 1, IsPathReliable: true, Other: healthy}, Reset, Unanswered},
		{"the endpoint has answered another flow since", copyEvidence{Age: usual, Copies: 1, IsPathReliable: true, IsAlive: true, Other: healthy}, Forward, Repeated},
		{"it answers others and not this one a second time", copyEvidence{Age: 600 * time.Millisecond, Copies: 2, IsPathReliable: true, IsAlive: true, Other: healthy}, Reset, Unanswered},
		{"the path loses packets", copyEvidence{Age: usual, Copies: 1, Other: healthy}, Forward, Repeated},
		{"all others are in doubt too", copyEvidence{Age: usual, Copies: 1, IsPathReliable: true, Other: doubtful}, Forward, Repeated},
		{"there is no other", copyEvidence{Age: usual, Copies: 1, IsPathReliable: true}, Forward, Repeated},
		{"the copy was held up and comes with the first transmission", copyEvidence{Age: time.Millisecond, Copies: 1, IsPathReliable: true, Other: healthy}, Forward, Repeated},
		{"the endpoint drains", copyEvidence{Age: usual, Copies: 1, IsLeaving: true, IsAlive: true, IsPathReliable: true, Other: doubtful}, Reset, Unanswered},
		{"the endpoint drains and there is no other", copyEvidence{Age: usual, Copies: 1, IsLeaving: true, IsPathReliable: true}, Forward, Repeated},
		{"the domain is evacuated", copyEvidence{Age: usual, Copies: 1, IsBarred: true, IsAlive: true, Other: doubtful}, Reset, Unanswered},
		{"the domain is evacuated and there is no other", copyEvidence{Age: usual, Copies: 1, IsBarred: true}, Reset, NoEndpoint},
		{"the limit of a slow start is used up", copyEvidence{Age: usual, Copies: 1, IsHeldBack: true, Other: healthy}, Reset, Unanswered},
		{"the limit is used up and there is no other", copyEvidence{Age: usual, Copies: 1, IsHeldBack: true}, Drop, ColdLimit},
		{"the flow is open", copyEvidence{Age: usual, Copies: 1, IsOpen: true, IsPathReliable: true, Other: healthy}, Forward, Repeated},
		{"the flow is open and the domain evacuated", copyEvidence{Age: usual, Copies: 1, IsOpen: true, IsBarred: true, Other: healthy}, Drop, LateCopy},
	} {
		if verdict, reason := c.evidence.decide(); verdict != c.verdict || reason != c.reason {
			t.Errorf("%s: %d, %v; expected %d, %v", c.name, verdict, reason, c.verdict, c.reason)
		}
	}
}
