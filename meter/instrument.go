package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	sardine "sardineswitch.dev/sardine"
)

// Label is a name and value that distinguish the series of a metric. Values must
// come from settings or tables, not from callers, so that their number is bounded.
type Label struct {
	name  string
	value string
}

// NewLabel returns a label. The name must be in snake case.
func NewLabel(name, value string) Label {
	return Label{name: name, value: value}
}

// Counter is a count that only increases. It is safe for concurrent use.
type Counter struct {
	counter metric.Int64Counter
	labels  metric.MeasurementOption
}

// With returns the counter with a set of labels. It creates an attribute set, so a
// caller that counts often should keep the result.
func (c *Counter) With(labels ...Label) *Counter {
	return &Counter{counter: c.counter, labels: attributes(labels)}
}

// Add increases the counter by n.
func (c *Counter) Add(n int) {
	c.counter.Add(context.Background(), int64(n), c.labels)
}

// Durations is a histogram of durations in seconds. It is safe for concurrent use.
type Durations struct {
	histogram metric.Float64Histogram
	labels    metric.MeasurementOption
}

// With returns the histogram with a set of labels. It creates an attribute set, so a
// caller that records often should keep the result.
func (d *Durations) With(labels ...Label) *Durations {
	return &Durations{histogram: d.histogram, labels: attributes(labels)}
}

// Record adds a duration to the histogram.
func (d *Durations) Record(m sardine.Millis) {
	d.histogram.Record(context.Background(), m.Duration().Seconds(), d.labels)
}

func attributes(labels []Label) metric.MeasurementOption {
	pairs := make([]attribute.KeyValue, 0, len(labels))
	for _, l := range labels {
		pairs = append(pairs, attribute.String(l.name, l.value))
	}
	return metric.WithAttributeSet(attribute.NewSet(pairs...))
}
