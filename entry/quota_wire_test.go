package entry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/wire"
)

func TestQuotaCodec(t *testing.T) {
	g := quota.Target{VM: "a", Incarnation: 3}
	report := quotaReportToWire(quota.Report{
		Limits:  []quota.KnownLimit{{Target: g, Service: "s", Limit: 6.8, Stated: true, Age: 70}, {Target: g, Age: -1}},
		Demands: []quota.Demand{{Service: "s", Rate: 2}},
	})
	require.EqualExportedValues(t, &wire.TargetLimit{Vm: "a", Incarnation: 3, Service: "s", Stated: true, Limit: 6.8, AgeMillis: 70}, report.GetLimits()[0])
	require.Zero(t, report.GetLimits()[1].GetAgeMillis())
	require.EqualExportedValues(t, &wire.ServiceDemand{Service: "s", Rate: 2}, report.GetDemands()[0])
	shares := quotaSharesFromWire([]*wire.TargetShare{
		{Vm: "a", Incarnation: 3, Stated: true, Limit: 6.8, AgeMillis: 90, Rate: 0.5},
		{Vm: "b", Limit: math.NaN()},
		{Vm: "c", Rate: math.Inf(1)},
		{Vm: "d", Limit: -1},
	})
	require.Equal(t, []quota.Share{{Target: g, Limit: 6.8, Stated: true, Age: 90, Rate: 0.5}}, shares)
}
