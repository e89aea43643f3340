package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// meter holds the node's instruments.
type meter struct {
	requests metric.Int64Counter
	first    metric.Int64Histogram
}

func newMeter(m metric.Meter) (*meter, error) {
	requests, err := m.Int64Counter("sardine_requests", metric.WithDescription("callers' requests by stage and result code"))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metrics can't be set up")
	}
	first, err := m.Int64Histogram("sardine_first_token", metric.WithUnit("ms"), metric.WithDescription("time from a request's arrival to its first token"))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "metrics can't be set up")
	}
	return &meter{requests: requests, first: first}, nil
}

func (m *meter) count(stage string, err error) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("stage", stage),
		attribute.String("code", codes.Of(err).Name()),
	))
}

func (m *meter) admitted(err error) {
	m.count("admission", err)
}

func (m *meter) refused(err error) {
	m.count("refused", err)
}

func (m *meter) failed(err error) {
	m.count("failed", err)
}

func (m *meter) firstToken(d sardine.Millis) {
	m.first.Record(context.Background(), int64(d))
}
