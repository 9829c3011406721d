package lab

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ParseTimedAction", func() {
	// Guards against an action whose effect differs from its text.
	DescribeTable("parses each verb",
		func(text string, want Action) {
			got, err := ParseTimedAction(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(TimedAction{At: 5 * time.Second, Action: want}))
		},
		Entry(nil, "5s drain b1", BackendAction{Verb: "drain", Name: "b1"}),
		Entry(nil, "5s cut a b", FabricAction{CutLink{A: "a", B: "b", Cut: true}}),
		Entry(nil, "5s join a b", FabricAction{CutLink{A: "a", B: "b"}}),
		Entry(nil, "5s spray-remove e1", FabricAction{RemoveEntryHost{Name: "e1", Removed: true}}),
		Entry(nil, "5s between loss=0.5", FabricAction{SetBetween{Link{Loss: 0.5}}}),
		Entry(nil, "5s link a b delay=3ms jitter=1ms duplicate=0.1 reorder=0.2", FabricAction{SetLink{
			A: "a", B: "b", Link: Link{Delay: 3 * time.Millisecond, Jitter: time.Millisecond, Duplicate: 0.1, Reorder: 0.2},
		}}),
		Entry(nil, "5s faults b1 lags=2s claim-ready", FaultAction{
			Name: "b1", Faults: BackendFaults{Probe: ProbeOutdated, ProbeLag: 2 * time.Second, ClaimReady: true},
		}),
	)

	// Guards against a mistyped action that is silently left out of a run.
	DescribeTable("rejects an invalid action",
		func(text string) {
			_, err := ParseTimedAction(text)
			Expect(err).To(MatchError(ContainSubstring(text)))
		},
		Entry(nil, "5s"), Entry(nil, "soon drain b1"), Entry(nil, "5s destroy b1"), Entry(nil, "5s drain"),
		Entry(nil, "5s drain b1 b2"), Entry(nil, "5s between speed=1"), Entry(nil, "5s faults b1 unknown"),
	)
})

var _ = Describe("parseMessage", func() {
	// Guards against a truncated or mixed body, or that of another message, that is
	// taken for a complete response.
	It("parses messages from a stream split anywhere, and rejects the body of another message", func() {
		random := rand.New(rand.NewPCG(5, 6))
		for range 200 {
			m := message{
				Verb: verbAnswer, ID: random.Uint64(), Service: "desk", Sender: "b1.1",
				Idempotent: true, Work: 3 * time.Millisecond, BodyBytes: random.IntN(40),
			}
			encoded := m.append(nil)
			_, length, err := parseMessage(encoded[:random.IntN(len(encoded))])
			Expect(err).NotTo(HaveOccurred())
			Expect(length).To(BeZero())
			got, length, err := parseMessage(append(encoded, "OK 1"...))
			Expect(err).NotTo(HaveOccurred())
			Expect(length).To(Equal(len(encoded)))
			Expect(got).To(Equal(m))
			if m.BodyBytes > 0 {
				encoded[len(encoded)-1] ^= 1
				_, _, err = parseMessage(encoded)
				Expect(err).To(MatchError(errWrongBody))
			}
		}
	})

	// Guards against parsing that continues after the message boundaries are lost.
	DescribeTable("rejects a malformed line",
		func(text string) {
			_, _, err := parseMessage([]byte(text))
			Expect(err).To(MatchError(errMalformedLine))
		},
		Entry(nil, "REQ 1 desk c 0 1\n"), Entry(nil, "REQ x desk c 0 1 1\n"), Entry(nil, "REQ 1 desk c 0 1 99999999\n"),
		Entry(nil, string(make([]byte, maxLineBytes+1))),
	)
})
