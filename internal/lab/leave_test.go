package lab

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a backend server that accepts connections after it has reported that none is
// open: the owner stops it then, and these connections break.
var _ = Describe("Leaving backend server", func() {
	It("accepts no connection once it has left", func() {
		site := newSite(1, 1, 4)
		go site.hosts[0].run()
		fabric, err := NewFabric(site.config.Fabric, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		fabric.Start()
		DeferCleanup(func() error { return fabric.Stop(context.Background()) })
		b, err := StartBackend(fabric, site.config.Backends[0], discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() error { return b.Stop(context.Background()) })
		Expect(b.Leave()).To(Succeed())
		Eventually(b.HasLeft, noTimeout, "5ms").Should(BeTrue())

		callers, err := StartCallers(fabric, site.config.Callers[0], discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() error { return callers.Stop(context.Background()) })
		var r BackendReport
		Eventually(func() (uint64, error) {
			r, err = b.Report()
			return r.LateFlows, err
		}, noTimeout, "5ms").Should(BeNumerically(">=", 4))
		Expect(r.Open).To(BeZero())
		Expect(r.Accepted).To(BeEmpty())
	})
})
