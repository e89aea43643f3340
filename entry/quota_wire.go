package entry

import (
	"math"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/wire"
)

func quotaReportToWire(r quota.Report) *wire.QuotaReport {
	w := &wire.QuotaReport{}
	for _, l := range r.Limits {
		w.Limits = append(w.Limits, &wire.TargetLimit{
			Vm:          string(l.Target.VM),
			Incarnation: uint64(l.Target.Incarnation),
			Service:     string(l.Service),
			Stated:      l.Stated,
			Limit:       l.Limit,
			AgeMillis:   uint32(min(max(l.Age, 0), math.MaxUint32)),
		})
	}
	for _, d := range r.Demands {
		w.Demands = append(w.Demands, &wire.ServiceDemand{Service: string(d.Service), Rate: d.Rate})
	}
	return w
}

// quotaSharesFromWire returns the shares that a control node has sent, without those whose
// rates are not finite.
func quotaSharesFromWire(all []*wire.TargetShare) []quota.Share {
	shares := make([]quota.Share, 0, len(all))
	for _, w := range all {
		if !validRate(w.GetLimit()) || !validRate(w.GetRate()) {
			continue
		}
		shares = append(shares, quota.Share{
			Target: quota.Target{VM: sardine.VMID(w.GetVm()), Incarnation: sardine.Incarnation(w.GetIncarnation())},
			Stated: w.GetStated(),
			Limit:  w.GetLimit(),
			Age:    sardine.Millis(w.GetAgeMillis()),
			Rate:   w.GetRate(),
		})
	}
	return shares
}

func validRate(rate float64) bool {
	return rate >= 0 && !math.IsInf(rate, 1)
}
