package cluster

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// newLinksDuty returns a links duty whose links never connect, because its context is cancelled.
func newLinksDuty() *linksDuty {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return &linksDuty{
		log: slog.New(slog.DiscardHandler), settings: Settings{Address: netip.MustParseAddrPort("127.0.0.1:1"), LinkPort: 9},
		selfID: 1, outboxes: map[string]*ring.Ring[*wirepb.Envelope]{}, peerAddresses: map[uint64]string{}, ctx: ctx,
	}
}

var _ = Describe("links", func() {
	// Guards against a joining host that cannot answer the leader: it receives the membership only
	// with the entries that the leader sends after such an answer.
	It("answer a peer that is not a member yet", func() {
		d := newLinksDuty()
		Expect(d.handle(sendLogMessage{changelog.Message{Kind: changelog.KindAppendReply, To: 7}})).To(Succeed())
		Expect(d.outboxes).To(BeEmpty())
		Expect(d.handle(peerIdentified{id: 7, address: "127.0.0.1:7"})).To(Succeed())
		Expect(d.handle(sendLogMessage{changelog.Message{Kind: changelog.KindAppendReply, To: 7}})).To(Succeed())
		Expect(d.outboxes).To(HaveKey("127.0.0.1:7"))
	})

	// Guards against a joining host that never catches up, so that the loss of one more disk leaves
	// no majority: it installs a snapshot whose membership predates the leader, and must still be
	// able to answer that leader.
	It("answer a leader that is missing from the membership of a snapshot", func() {
		d := newLinksDuty()
		Expect(d.handle(peerIdentified{id: 7, address: "127.0.0.1:7"})).To(Succeed())
		Expect(d.handle(membersChanged{changelog.Membership{{ID: 2, Address: "127.0.0.1:2"}}})).To(Succeed())
		Expect(d.handle(sendLogMessage{changelog.Message{Kind: changelog.KindAppendReply, To: 7}})).To(Succeed())
		Expect(d.outboxes).To(HaveKey("127.0.0.1:7"))
	})

	// Guards against memory that grows with each ID that a peer reports.
	It("discard the addresses of non-members when there are too many", func() {
		d := newLinksDuty()
		Expect(d.handle(membersChanged{changelog.Membership{{ID: 2, Address: "127.0.0.1:2"}}})).To(Succeed())
		for id := range uint64(maxPeerAddresses) {
			Expect(d.handle(peerIdentified{id: 100 + id, address: "127.0.0.1:9"})).To(Succeed())
		}
		Expect(len(d.peerAddresses)).To(BeNumerically("<=", maxPeerAddresses))
		Expect(d.peerAddresses).To(HaveKeyWithValue(uint64(2), "127.0.0.1:2"))
		Expect(d.peerAddresses).To(HaveKey(uint64(100 + maxPeerAddresses - 1)))
	})

	// Guards against a host that never sends to a new member: the inbox of the links duty drops its oldest values
	// while that duty gets no processor time, and the membership does not change again.
	It("learn the members again after the message about them was dropped", func() {
		h := newPeers(2)[0]
		for h.linksInbox.Depth() > 0 {
			_, _ = h.linksInbox.Get()
		}
		h.advance(signOfLifeInterval)
		d := newLinksDuty()
		for h.linksInbox.Depth() > 0 {
			e, _ := h.linksInbox.Get()
			Expect(d.handle(e)).To(Succeed())
		}
		Expect(d.outboxes).To(HaveKey("127.0.0.1:2"))
	})

	// Guards against links to hosts that are no members yet, which end each time the members are repeated.
	It("to other hosts stay open while the members do not change", func() {
		d := newLinksDuty()
		members := changelog.Membership{{ID: 2, Address: "127.0.0.1:2"}}
		Expect(d.handle(membersChanged{members})).To(Succeed())
		Expect(d.handle(sendTo{address: "127.0.0.1:7", envelope: &wirepb.Envelope{}})).To(Succeed())
		Expect(d.handle(membersChanged{members})).To(Succeed())
		Expect(d.outboxes).To(HaveKey("127.0.0.1:7"))
	})

	// Guards against links that remain for each host that is replaced.
	It("are closed when their peer is removed from the membership", func() {
		d := newLinksDuty()
		Expect(d.handle(membersChanged{changelog.Membership{{ID: 2, Address: "127.0.0.1:2"}}})).To(Succeed())
		Expect(d.handle(broadcast{&wirepb.Envelope{}})).To(Succeed())
		outbox := d.outboxes["127.0.0.1:2"]
		Expect(d.handle(membersChanged{changelog.Membership{{ID: 3, Address: "127.0.0.1:3"}}})).To(Succeed())
		Expect(d.outboxes).NotTo(HaveKey("127.0.0.1:2"))
		Expect(outbox.Offer(&wirepb.Envelope{})).To(BeFalse())
	})
})
