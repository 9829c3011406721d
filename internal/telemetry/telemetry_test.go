package telemetry_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/ring"
	"cassiawood/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("HTTP", func() {
	// Guards against metrics that a Prometheus server cannot parse.
	It("serves a ring's gauges in both formats", func() {
		registry := metrics.NewRegistry()
		r := ring.New[int]("engine-in", 4, ring.Block)
		telemetry.RegisterRing(registry, r)
		r.Offer(1)
		handler := telemetry.MetricsHandler(registry)
		text := httptest.NewRecorder()
		handler.ServeHTTP(text, httptest.NewRequest("GET", "/metrics", nil))
		Expect(text.Body.String()).To(ContainSubstring("cassiawood_ring_engine_in_depth 1\n"))
		json := httptest.NewRecorder()
		handler.ServeHTTP(json, httptest.NewRequest("GET", "/metrics.json", nil))
		Expect(json.Body.String()).To(ContainSubstring(`"ring.engine-in.depth":{"value":1}`))
	})

	// Guards against names from the document that the browser interprets as HTML.
	It("escapes text on the status page", func() {
		page := httptest.NewRecorder()
		status := telemetry.Status{Services: []telemetry.ServiceStatus{{Name: "<script>"}}}
		telemetry.StatusHandler(func() (telemetry.Status, error) { return status, nil }).
			ServeHTTP(page, httptest.NewRequest("GET", "/", nil))
		Expect(page.Body.String()).To(And(ContainSubstring("&lt;script&gt;"), Not(ContainSubstring("<script>"))))
	})

	It("responds with status 503 when the state cannot be read", func() {
		page := httptest.NewRecorder()
		telemetry.StatusHandler(func() (telemetry.Status, error) { return telemetry.Status{}, errors.New("stopping") }).
			ServeHTTP(page, httptest.NewRequest("GET", "/", nil))
		Expect(page.Code).To(Equal(503))
	})
})
