package ctrl

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/wire"
)

// validRate reports whether a rate from another process may be used in calculations.
func validRate(rate float64) bool {
	return rate >= 0 && !math.IsInf(rate, 1)
}

func quotaReportToWire(r quota.Report) *wire.QuotaReport {
	w := &wire.QuotaReport{}
	for _, l := range r.Limits {
		w.Limits = append(w.Limits, &wire.TargetLimit{
			Vm:          string(l.Target.VM),
			Incarnation: uint64(l.Target.Incarnation),
			Service:     string(l.Service),
			Stated:      l.Stated,
			Limit:       l.Limit,
			AgeMillis:   ageToWire(l.Age),
		})
	}
	for _, d := range r.Demands {
		w.Demands = append(w.Demands, &wire.ServiceDemand{Service: string(d.Service), Rate: d.Rate})
	}
	return w
}

func ageToWire(age sardine.Millis) uint32 {
	return uint32(min(max(age, 0), math.MaxUint32))
}

func quotaReportFromWire(w *wire.QuotaReport) quota.Report {
	var r quota.Report
	for _, l := range w.GetLimits() {
		if !validRate(l.GetLimit()) {
			continue
		}
		r.Limits = append(r.Limits, quota.KnownLimit{
			Target:  quota.Target{VM: sardine.VMID(l.GetVm()), Incarnation: sardine.Incarnation(l.GetIncarnation())},
			Service: sardine.ServiceName(l.GetService()),
			Stated:  l.GetStated(),
			Limit:   l.GetLimit(),
			Age:     sardine.Millis(l.GetAgeMillis()),
		})
	}
	for _, d := range w.GetDemands() {
		if validRate(d.GetRate()) {
			r.Demands = append(r.Demands, quota.Demand{Service: sardine.ServiceName(d.GetService()), Rate: d.GetRate()})
		}
	}
	return r
}

func nodeQuotasToWire(reports map[sardine.NodeID]quota.Report) []*wire.NodeQuotaReport {
	all := make([]*wire.NodeQuotaReport, 0, len(reports))
	for node, r := range reports {
		all = append(all, &wire.NodeQuotaReport{Node: string(node), AgeMillis: ageToWire(r.Age), Report: quotaReportToWire(r)})
	}
	slices.SortFunc(all, func(a, b *wire.NodeQuotaReport) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return all
}

func nodeQuotasFromWire(all []*wire.NodeQuotaReport) map[sardine.NodeID]quota.Report {
	reports := make(map[sardine.NodeID]quota.Report, len(all))
	for _, w := range all {
		r := quotaReportFromWire(w.GetReport())
		r.Age = sardine.Millis(w.GetAgeMillis())
		reports[sardine.NodeID(w.GetNode())] = r
	}
	return reports
}

func sharesToWire(shares []quota.Share) []*wire.TargetShare {
	all := make([]*wire.TargetShare, 0, len(shares))
	for _, s := range shares {
		all = append(all, &wire.TargetShare{
			Vm:          string(s.Target.VM),
			Incarnation: uint64(s.Target.Incarnation),
			Stated:      s.Stated,
			Limit:       s.Limit,
			AgeMillis:   ageToWire(s.Age),
			Rate:        s.Rate,
		})
	}
	return all
}

func allocationsToWire(allocations []quota.Allocation) []*wire.TargetAllocation {
	all := make([]*wire.TargetAllocation, 0, len(allocations))
	for _, a := range allocations {
		w := &wire.TargetAllocation{
			Vm:          string(a.Target.VM),
			Incarnation: uint64(a.Target.Incarnation),
			Stated:      a.Stated,
			Limit:       a.Limit,
			AgeMillis:   ageToWire(a.Age),
		}
		for node, rate := range a.Rates {
			w.Rates = append(w.Rates, &wire.NodeRate{Node: string(node), Rate: rate})
		}
		slices.SortFunc(w.Rates, func(a, b *wire.NodeRate) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
		all = append(all, w)
	}
	return all
}

func allocationsFromWire(all []*wire.TargetAllocation) []quota.Allocation {
	var allocations []quota.Allocation
	for _, w := range all {
		a := quota.Allocation{
			Target: quota.Target{VM: sardine.VMID(w.GetVm()), Incarnation: sardine.Incarnation(w.GetIncarnation())},
			Stated: w.GetStated(),
			Limit:  w.GetLimit(),
			Age:    sardine.Millis(w.GetAgeMillis()),
			Rates:  make(map[sardine.NodeID]float64, len(w.GetRates())),
		}
		for _, r := range w.GetRates() {
			a.Rates[sardine.NodeID(r.GetNode())] = r.GetRate()
		}
		allocations = append(allocations, a)
	}
	return allocations
}
