// Package meter holds a node's metrics: typed OpenTelemetry instruments, served
// in the Prometheus text format. Each node has its own registry.
package meter

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"sardineswitch.dev/sardine/codes"
)

// scope is the name of the OpenTelemetry instrumentation scope.
const scope = "sardineswitch.dev/sardine"

// Meter creates the instruments of one node and serves their values. It must be
// closed.
type Meter struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns a meter without instruments.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metrics")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Meter{provider: provider, meter: provider.Meter(scope), registry: registry}, nil
}

// Handler returns a handler that serves all metrics on any path.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Page returns a handler that serves all metrics at /metrics and nothing else.
func (m *Meter) Page() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	return mux
}

// Close shuts down the instruments.
func (m *Meter) Close() error {
	return m.provider.Shutdown(context.Background())
}

// Counter returns a new counter without labels.
func (m *Meter) Counter(name, description string) (*Counter, error) {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metric "+name)
	}
	return &Counter{counter: c, labels: metric.WithAttributeSet(attribute.NewSet())}, nil
}

// Durations returns a new histogram of durations without labels. bounds are the upper
// bounds of its buckets in seconds.
func (m *Meter) Durations(name, description string, bounds ...float64) (*Durations, error) {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metric "+name)
	}
	return &Durations{histogram: h, labels: metric.WithAttributeSet(attribute.NewSet())}, nil
}

// Gauge is a value that is read at each scrape of the metrics. Read must be fast and
// safe for concurrent use.
type Gauge struct {
	Name        string
	Description string
	Labels      []Label
	Read        func() float64
}

// Gauges registers gauges. Gauges with the same name must be adjacent in the slice
// and differ in their labels.
func (m *Meter) Gauges(gauges []Gauge) error {
	for len(gauges) > 0 {
		n := 1
		for n < len(gauges) && gauges[n].Name == gauges[0].Name {
			n++
		}
		if err := m.registerGauge(gauges[:n]); err != nil {
			return err
		}
		gauges = gauges[n:]
	}
	return nil
}

// registerGauge registers gauges of the same name as one instrument.
func (m *Meter) registerGauge(all []Gauge) error {
	name := all[0].Name
	labels := make([]metric.MeasurementOption, len(all))
	for i, g := range all {
		labels[i] = attributes(g.Labels)
	}
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(all[0].Description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for i, g := range all {
				o.Observe(g.Read(), labels[i])
			}
			return nil
		}))
	return codes.Wrap(codes.Internal, err, "metric "+name)
}

// Bool returns the value of a gauge for a condition: 1 for true, 0 for false.
func Bool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
