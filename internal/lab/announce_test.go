package lab

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Backend", func() {
	var (
		announcements chan announcement
		fabric        *Fabric
		config        BackendConfig
	)
	BeforeEach(func() {
		announcements = make(chan announcement, 64)
		accepting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			var a announcement
			Expect(json.NewDecoder(r.Body).Decode(&a)).To(Succeed())
			Expect(r.Header.Get("Authorization")).To(Equal("Bearer secret"))
			Expect(r.Method + r.URL.Path).To(Equal("POST/v1/announce"))
			select {
			case announcements <- a:
			default:
			}
		}))
		DeferCleanup(accepting.Close)
		refusing := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(refusing.Close)
		site := newSite(1, 1, 1)
		config = site.config.Backends[0]
		config.Token = "secret"
		config.Lease = 30 * backendTick
		config.AnnounceURLs = []string{refusing.URL + "/v1/announce", accepting.URL + "/v1/announce"}
		var err error
		fabric, err = NewFabric(site.config.Fabric, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		fabric.Start()
		DeferCleanup(func() error { return fabric.Stop(context.Background()) })
	})
	start := func() *Backend {
		GinkgoHelper()
		b, err := StartBackend(fabric, config, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() error { return b.Stop(context.Background()) })
		return b
	}
	next := func(state string) announcement {
		GinkgoHelper()
		for a := range announcements {
			if a.State == state {
				return a
			}
		}
		return announcement{}
	}
	get := func(url string) (int, loadReport) {
		GinkgoHelper()
		response, err := http.Get(url)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var l loadReport
		Expect(json.NewDecoder(response.Body).Decode(&l)).To(Succeed())
		return response.StatusCode, l
	}

	// Guards against a backend server that stays unknown to the entry hosts, or whose
	// lease expires.
	It("announces itself to the next entry host when one refuses, and renews its lease", func() {
		b := start()
		a := next(stateReady)
		Expect(a.Address + a.Service + a.FailureDomain).To(Equal("10.7.0.1deska"))
		Expect([]any{a.Port, a.Slots, a.Instance}).To(Equal([]any{uint16(8080), 2, "b1"}))
		next(stateReady)
		Expect(b.Drain()).To(Succeed())
		next(stateDraining)
		next(stateDraining)
	})

	// Guards against a ClaimReady fault without effect: real backend servers announce
	// contradictory states too.
	It("claims to be ready after it has announced that it drains", func() {
		b := start()
		Expect(b.SetFaults(BackendFaults{ClaimReady: true})).To(Succeed())
		Expect(b.Drain()).To(Succeed())
		next(stateDraining)
		next(stateReady)
	})

	// Guards against probe faults without effect.
	It("reports its state to probes, or what the probe fault prescribes", func() {
		b := start()
		a := next(stateReady)
		status, load := get(a.HealthURL)
		Expect(status).To(Equal(http.StatusOK))
		Expect(load).To(Equal(loadReport{State: stateReady, Slots: 2}))
		Expect(b.SetFaults(BackendFaults{Probe: ProbeFrozen})).To(Succeed())
		Expect(b.Drain()).To(Succeed())
		_, load = get(a.LoadURL)
		Expect(load.State).To(Equal(stateReady))
		Expect(b.SetFaults(BackendFaults{})).To(Succeed())
		status, load = get(a.HealthURL)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(load.State).To(Equal(stateDraining))
		Expect(b.SetFaults(BackendFaults{Probe: ProbeFalselyReady})).To(Succeed())
		status, _ = get(a.HealthURL)
		Expect(status).To(Equal(http.StatusOK))
		Expect(b.SetFaults(BackendFaults{Probe: ProbeFails})).To(Succeed())
		response, err := http.Get(a.LoadURL)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	})
})
