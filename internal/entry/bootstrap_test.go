package entry

import (
	"context"
	"log/slog"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

var _ = Describe("bootstrap duty", func() {
	// Guards against a failure domain that cannot serve after a restart during a partition,
	// since its entry hosts have no disk and cannot reach a control host (docs/design.md, section 1.1, P10).
	It("fetches the directory from a peer that has one", func() {
		r := newTestEngine()
		r.populateDirectory()
		engine := ring.New[engineEvent]("engine", 16, ring.Block)
		defer engine.Close()
		go func() {
			defer GinkgoRecover()
			Expect(duty.FromRing("engine", engine, r.duty.handle).Run(context.Background(), &duty.Progress{})).To(Succeed())
		}()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := slog.New(slog.DiscardHandler)
		server := &peerServer{log: log, listener: listener, engine: engine}
		go func() { _ = server.run(ctx, nil) }()

		inbox := ring.New[engineEvent]("starting", 16, ring.Block)
		bootstrap := &bootstrapDuty{log: log, peers: []string{"127.0.0.1:1", listener.Addr().String()}, engine: inbox}
		bootstrap.installNewestDirectory(ctx)
		event, err := inbox.Get()
		Expect(err).NotTo(HaveOccurred())
		state := event.(engineSnapshot).state
		Expect(state.Index()).To(Equal(r.duty.state.Index()))
		_, ok := state.Service("order-desk")
		Expect(ok).To(BeTrue())
	})
})
