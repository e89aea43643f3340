// Package meter holds a node's metrics: typed OpenTelemetry instruments, served
// in the Prometheus text form. Each node has a registry of its own.
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

const scope = "sardineswitch.dev/sardine"

// Meter makes one node's instruments. Close releases it.
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

// Handler serves all metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Page serves all metrics at /metrics and nothing else.
func (m *Meter) Page() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	return mux
}

// Close releases the instruments.
func (m *Meter) Close() error {
	return m.provider.Shutdown(context.Background())
}

// Counter returns a count that only rises.
func (m *Meter) Counter(name, description string) (*Counter, error) {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metric "+name)
	}
	return &Counter{counter: c, labels: metric.WithAttributeSet(attribute.NewSet())}, nil
}

// Durations returns a histogram of times in seconds with the given upper bounds.
func (m *Meter) Durations(name, description string, bounds ...float64) (*Durations, error) {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metric "+name)
	}
	return &Durations{histogram: h, labels: metric.WithAttributeSet(attribute.NewSet())}, nil
}

// Gauge is a value that is read whenever the metrics are fetched. Read must be safe
// for concurrent use and quick.
type Gauge struct {
	Name        string
	Description string
	Labels      []Label
	Read        func() float64
}

// Gauges adds gauges. Those of one name stand next to each other and differ by
// their labels.
func (m *Meter) Gauges(gauges []Gauge) error {
	for len(gauges) > 0 {
		n := 1
		for n < len(gauges) && gauges[n].Name == gauges[0].Name {
			n++
		}
		if err := m.gauge(gauges[:n]); err != nil {
			return err
		}
		gauges = gauges[n:]
	}
	return nil
}

func (m *Meter) gauge(all []Gauge) error {
	name := all[0].Name
	sets := make([]metric.MeasurementOption, len(all))
	for i, g := range all {
		sets[i] = attributes(g.Labels)
	}
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(all[0].Description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for i, g := range all {
				o.Observe(g.Read(), sets[i])
			}
			return nil
		}))
	return codes.Wrap(codes.Internal, err, "metric "+name)
}

// Bool is a gauge's value of a condition.
func Bool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
