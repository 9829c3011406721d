// Package telemetry serves the metrics and the status page of a process over HTTP.
package telemetry

import (
	"fmt"
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// ringGauges is the part of a ring that RegisterRing reads.
type ringGauges interface {
	Name() string
	Depth() int
	Capacity() int
	Drops() uint64
}

// RegisterRing adds gauges for the depth, capacity and drops of a ring to the registry.
func RegisterRing(registry metrics.Registry, r ringGauges) {
	gauge := func(name string, read func() int64) {
		_ = registry.Register("ring."+r.Name()+"."+name, metrics.NewFunctionalGauge(read))
	}
	gauge("depth", func() int64 { return int64(r.Depth()) })
	gauge("capacity", func() int64 { return int64(r.Capacity()) })
	gauge("drops", func() int64 { return int64(r.Drops()) })
}

// Parameters of the exponentially decaying sample of a histogram. These are the defaults
// of the metrics library; quantiles represent roughly the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// NewHistogram returns a new histogram that is registered under name.
func NewHistogram(name string, registry metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// MetricsHandler serves the metrics of the registry: as JSON at /metrics.json and in the
// Prometheus text format at /metrics.
func MetricsHandler(registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		if err := writePrometheus(w, registry); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	return mux
}

func writePrometheus(w http.ResponseWriter, registry metrics.Registry) error {
	encoder := expfmt.NewEncoder(w, expfmt.NewFormat(expfmt.TypeTextPlain))
	var firstErr error
	registry.Each(func(name string, metric any) {
		for _, family := range metricFamilies(prometheusName(name), metric) {
			if err := encoder.Encode(family); err != nil && firstErr == nil {
				firstErr = fmt.Errorf("encode metric %s: %w", name, err)
			}
		}
	})
	return firstErr
}

func metricFamilies(name string, metric any) []*dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return []*dto.MetricFamily{counterFamily(name, float64(m.Count()))}
	case metrics.Gauge:
		return []*dto.MetricFamily{gaugeFamily(name, float64(m.Value()))}
	case metrics.GaugeFloat64:
		return []*dto.MetricFamily{gaugeFamily(name, m.Value())}
	case metrics.Histogram:
		return []*dto.MetricFamily{summaryFamily(name, m.Snapshot())}
	default:
		return nil
	}
}

func counterFamily(name string, value float64) *dto.MetricFamily {
	metricType := dto.MetricType_COUNTER
	return &dto.MetricFamily{Name: &name, Type: &metricType, Metric: []*dto.Metric{
		{Counter: &dto.Counter{Value: &value}},
	}}
}

func gaugeFamily(name string, value float64) *dto.MetricFamily {
	metricType := dto.MetricType_GAUGE
	return &dto.MetricFamily{Name: &name, Type: &metricType, Metric: []*dto.Metric{
		{Gauge: &dto.Gauge{Value: &value}},
	}}
}

func summaryFamily(name string, h metrics.Histogram) *dto.MetricFamily {
	metricType := dto.MetricType_SUMMARY
	count, sum := uint64(h.Count()), float64(h.Sum())
	summary := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for _, q := range []float64{0.5, 0.99} {
		value := h.Percentile(q)
		summary.Quantile = append(summary.Quantile, &dto.Quantile{Quantile: &q, Value: &value})
	}
	return &dto.MetricFamily{
		Name: &name, Type: &metricType, Metric: []*dto.Metric{{Summary: summary}},
	}
}

func prometheusName(name string) string {
	return "cassiawood_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
