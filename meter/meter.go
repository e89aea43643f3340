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

// Gauge reads a value whenever the metrics are fetched. read must be safe for
// concurrent use and quick.
func (m *Meter) Gauge(name, description string, read func() float64, labels ...Label) error {
	set := attributes(labels)
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read(), set)
			return nil
		}))
	return codes.Wrap(codes.Internal, err, "metric "+name)
}
