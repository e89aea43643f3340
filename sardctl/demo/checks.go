package demo

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

// mismatch returns the error for a report that contradicts the state of the site.
func mismatch(format string, args ...any) error {
	return codes.New(codes.Internal, format, args...)
}

// checkHealthy returns nil if every check of the report holds and every condition
// in it is healthy.
func checkHealthy(r status.Report) error {
	for _, c := range r.Checks {
		if !c.Passed {
			return mismatch("%s: %s", c.Name, c.Detail)
		}
	}
	for name, k := range conditions(r) {
		if !k.Healthy {
			return mismatch("%s is %s", name, k.State)
		}
	}
	return nil
}

// conditions returns the conditions in the report by kind and name.
func conditions(r status.Report) map[string]status.Condition {
	all := make(map[string]status.Condition)
	for _, k := range r.Controls {
		all["control "+string(k.Node)] = k.Condition
	}
	for _, e := range r.Entries {
		all["entry "+string(e.Node)] = e.Condition
	}
	for _, t := range r.Teams {
		all["team "+string(t.Name)] = t.Condition
	}
	for _, g := range r.Groups {
		all["group "+string(g.ID)] = g.Condition
	}
	for _, t := range r.Targets {
		all["target "+string(t.VM)] = t.Condition
	}
	for _, p := range r.Poisons {
		all["request "+p.Fingerprint] = p.Condition
	}
	return all
}

// checkLost returns nil if the report shows the VM as lost and in no group whose
// condition is healthy.
func checkLost(r status.Report, vm sardine.VMID) error {
	t, known := r.Target(vm)
	if !known || t.Condition.State != "lost" || t.Condition.Healthy {
		return mismatch("target %s is %q, it is lost", vm, t.Condition.State)
	}
	for _, g := range r.Groups {
		for _, m := range g.Members {
			if m.VM == vm && g.Condition.Healthy {
				return mismatch("group %s is %s with %s, which is lost", g.ID, g.Condition.State, vm)
			}
		}
	}
	return nil
}

// checkOnlyUnhealthy returns nil if, among the things of a kind, exactly the named
// ones are unhealthy in the report, each with advice on what to do.
func checkOnlyUnhealthy(r status.Report, kind string, names ...string) error {
	expected := make(map[string]bool)
	for _, name := range names {
		expected[kind+" "+name] = true
	}
	for name, k := range conditions(r) {
		if len(name) <= len(kind) || name[:len(kind)+1] != kind+" " {
			continue
		}
		if k.Healthy == expected[name] {
			return mismatch("%s is %s, wrongly", name, k.State)
		}
		if !k.Healthy && (k.SystemAction == "" || k.OperatorAction == "") {
			return mismatch("%s is %s without advice", name, k.State)
		}
		delete(expected, name)
	}
	for name := range expected {
		return mismatch("%s is not in the report", name)
	}
	return nil
}

// guaranteeHolds reports whether the named check holds in the report.
func guaranteeHolds(r status.Report, name string) bool {
	for _, c := range r.Checks {
		if c.Name == name {
			return c.Passed
		}
	}
	return false
}
