package lab

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Proxy", func() {
	var (
		fabric *Fabric
		proxy  *Proxy
		target *net.TCPListener
	)
	BeforeEach(func() {
		var err error
		fabric, err = NewFabric(FabricConfig{Listen: loopbackAnyPort}, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		fabric.Start()
		DeferCleanup(func() error { return fabric.Stop(context.Background()) })
		target, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(loopbackAnyPort))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		sources := map[netip.Addr]string{netip.MustParseAddr("127.0.0.2"): "a", netip.MustParseAddr("127.0.0.3"): "b"}
		config := ProxyConfig{Listen: loopbackAnyPort, Target: target.Addr().(*net.TCPAddr).AddrPort(), Domain: "b"}
		proxy, err = StartProxy(fabric, config, sources, 1, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() error { return proxy.Stop(context.Background()) })
	})
	// dial connects from an address through the proxy and returns both ends.
	dial := func(from string) (near, far net.Conn) {
		GinkgoHelper()
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		near, err := dialer.Dial("tcp4", proxy.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err = target.Accept()
		Expect(err).NotTo(HaveOccurred())
		return near, far
	}
	send := func(conn net.Conn, text string) {
		GinkgoHelper()
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	read := func(conn net.Conn, n int) string {
		GinkgoHelper()
		b := make([]byte, n)
		_, err := io.ReadFull(conn, b)
		Expect(err).NotTo(HaveOccurred())
		return string(b)
	}

	// Guards against control connections that get through a partition, and against
	// bytes that are lost or reordered when the partition ends.
	It("holds back bytes while the link is cut, for that link only", func() {
		near, far := dial("127.0.0.2")
		send(near, "one")
		Expect(read(far, 3)).To(Equal("one"))
		Expect(fabric.Apply(CutLink{A: "a", B: "b", Cut: true})).To(Succeed())
		send(near, "two")
		send(far, "back")
		nearB, farB := dial("127.0.0.3")
		send(nearB, "other")
		Expect(read(farB, 5)).To(Equal("other"))
		// Slowness of the machine cannot make this check fail, only bytes that get
		// through the cut link can.
		Expect(far.SetReadDeadline(time.Now().Add(10 * cutPollInterval))).To(Succeed())
		_, err := far.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(far.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(fabric.Apply(CutLink{A: "a", B: "b"})).To(Succeed())
		send(near, "three")
		Expect(read(far, 8)).To(Equal("twothree"))
		Expect(read(near, 4)).To(Equal("back"))
	})

	// Guards against a connection that stays open at one end after the other end has
	// closed it.
	It("closes a connection after forwarding the bytes of the side that closes it", func() {
		near, far := dial("127.0.0.2")
		send(near, "last")
		Expect(near.Close()).To(Succeed())
		all, err := io.ReadAll(far)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(all)).To(Equal("last"))
	})
})
