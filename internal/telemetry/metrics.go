// Package telemetry serves the metrics and the status page of a process.
package telemetry

import (
	"fmt"
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// ringGauges is what telemetry reads of a ring.
type ringGauges interface {
	Name() string
	Depth() int
	Capacity() int
	Drops() uint64
}

// RegisterRing adds the depth, capacity and drops of a ring to the registry.
func RegisterRing(registry metrics.Registry, r ringGauges) {
	gauge := func(name string, read func() int64) {
		_ = registry.Register("ring."+r.Name()+"."+name, metrics.NewFunctionalGauge(read))
	}
	gauge("depth", func() int64 { return int64(r.Depth()) })
	gauge("capacity", func() int64 { return int64(r.Capacity()) })
	gauge("drops", func() int64 { return int64(r.Drops()) })
}

// The reservoir of a histogram, by the defaults of the metrics library: its quantiles
// are those of the last five minutes or so.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// NewHistogram adds a histogram to the registry.
func NewHistogram(name string, registry metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// MetricsHandler serves the registry: JSON by default, the Prometheus text
// format at a path that ends in /metrics.
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
	var failure error
	registry.Each(func(name string, metric any) {
		for _, family := range families(prometheusName(name), metric) {
			if err := encoder.Encode(family); err != nil && failure == nil {
				failure = fmt.Errorf("encode metric %s: %w", name, err)
			}
		}
	})
	return failure
}

func families(name string, metric any) []*dto.MetricFamily {
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
	kind := dto.MetricType_COUNTER
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{
		{Counter: &dto.Counter{Value: &value}},
	}}
}

func gaugeFamily(name string, value float64) *dto.MetricFamily {
	kind := dto.MetricType_GAUGE
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{
		{Gauge: &dto.Gauge{Value: &value}},
	}}
}

func summaryFamily(name string, h metrics.Histogram) *dto.MetricFamily {
	kind := dto.MetricType_SUMMARY
	count, sum := uint64(h.Count()), float64(h.Sum())
	summary := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for _, q := range []float64{0.5, 0.99} {
		value := h.Percentile(q)
		summary.Quantile = append(summary.Quantile, &dto.Quantile{Quantile: &q, Value: &value})
	}
	return &dto.MetricFamily{
		Name: &name, Type: &kind, Metric: []*dto.Metric{{Summary: summary}},
	}
}

func prometheusName(name string) string {
	return "cassiawood_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
