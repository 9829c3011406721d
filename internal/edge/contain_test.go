package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

// noCodec is a codec for a fabric without packets.
type noCodec struct{ PacketCodec }

// shutdownFunc is called when the process is to end.
type shutdownFunc func()

// Shutdown implements fx.Shutdowner.
func (f shutdownFunc) Shutdown(...fx.ShutdownOption) error {
	f()
	return nil
}

var _ = Describe("an unexpected error", func() {
	caller, service, broken := netip.MustParseAddrPort("100.64.0.1:5000"), netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.9:443")
	first := func(to netip.AddrPort) affinity.Packet {
		return affinity.Packet{Caller: caller, Service: to, Flags: affinity.SYN, Seq: 100}
	}

	// Guards against a caller who ends entry hosts one after another with the same packet.
	It("in the decision about a packet drops the packet and is counted", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Version: 1, Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
		table := routing.Table{Version: 2, Routes: []routing.TableRoute{
			{Address: service, Shares: []routing.Share{{Service: "desk", Weight: 1}}},
			{Address: broken}, // no control host sends a route without a service
		}}
		Expect(h.engine.SetRoutes(table)).To(BeTrue())
		Expect(h.verdictOn(first(service))).To(Equal(affinity.Forward))
		Expect(h.verdictOn(first(broken))).To(Equal(affinity.Drop))
		Expect(h.metrics.failed.Count()).To(BeEquivalentTo(1))
		Expect(h.engine.FlowCount()).To(BeZero())
		Expect(h.verdictOn(first(service))).To(Equal(affinity.Forward))
		later := affinity.Packet{Caller: caller, Service: service, Flags: affinity.ACK, Token: affinity.Token(1), Seq: 101, Ack: 1, Length: 5}
		Expect(h.verdictOn(later)).To(Equal(affinity.Forward))
	})

	// Guards against a process that lingers, takes packets and answers nothing, because its stop waits for
	// the duty that has failed.
	It("elsewhere in a duty ends the process without waiting for that duty", func() {
		failed := make(chan struct{})
		settings := Settings{
			Host: "h", Domain: "a", PacketAddress: netip.MustParseAddrPort("127.0.0.1:0"), TelemetryAddress: netip.MustParseAddrPort("127.0.0.1:0"),
			StopLimit: time.Hour,
		}
		h, err := newHost(settings, noCodec{}, slog.New(slog.DiscardHandler), metrics.NewRegistry(), shutdownFunc(func() { close(failed) }))
		Expect(err).NotTo(HaveOccurred())
		h.group.Start()
		_, err = h.engineInbox.Put(packetArrived{}) // no datagram
		Expect(err).NotTo(HaveOccurred())
		<-failed
		Expect(h.stop(context.Background())).To(Succeed())
	})

	// Guards against entry hosts that end again and again because of one entry among the endpoints.
	It("in an endpoint of an update leaves that endpoint out", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Version: 1, Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
		h.endpoints = nil // known endpoints can be looked up, new ones cannot be stored
		h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{reportOf(2, 1, registry.Ready, false)}})
		Expect(h.metrics.failed.Count()).To(BeEquivalentTo(1))
		Expect(h.verdictOn(first(service))).To(Equal(affinity.Forward))
	})
})
