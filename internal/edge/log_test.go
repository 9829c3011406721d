package edge

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
	"cassiawood/internal/wire/wirepb"
)

var _ = Describe("lines about flows", func() {
	// Guards against placed flows that cannot be found in the log, because packets that came before the
	// routes have used up the lines of the second.
	It("have a limit for drops and another one for the rest", func() {
		var text bytes.Buffer
		h := newEngineHarness()
		h.log = slog.New(slog.NewTextHandler(&text, nil))
		first := func(port uint16) affinity.Packet {
			return affinity.Packet{
				Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Service: netip.MustParseAddrPort("198.18.0.1:443"), Flags: affinity.SYN,
			}
		}
		lines := func(reason string) int { return strings.Count(text.String(), reason) }
		for i := range uint16(500) {
			Expect(h.verdictOn(first(i + 1))).To(Equal(affinity.Drop))
		}
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Version: 1, Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
		for i := range uint16(500) {
			Expect(h.verdictOn(first(i + 1))).To(Equal(affinity.Forward))
		}
		Expect(lines(`reason="no state"`)).To(Equal(maxDropLinesPerSecond))
		Expect(lines(`reason=placed`)).To(Equal(maxFlowLinesPerSecond))
		for range ticksPerSecond {
			Expect(h.handle(tick{})).To(Succeed())
		}
		Expect(text.String()).To(ContainSubstring("lines about flows withheld"))
		Expect(h.verdictOn(first(501))).To(Equal(affinity.Forward))
		Expect(lines(`reason=placed`)).To(Equal(maxFlowLinesPerSecond + 1))
	})
})
