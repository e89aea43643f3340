package demo

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

// wrong is a report that does not tell what is so.
func wrong(format string, args ...any) error {
	return codes.New(codes.Internal, format, args...)
}

// wellReport returns nil if the report holds every promise and names nothing
// that is not well.
func wellReport(r status.Report) error {
	for _, c := range r.Checks {
		if !c.Held {
			return wrong("%s: %s", c.Name, c.Detail)
		}
	}
	for name, k := range conditions(r) {
		if !k.Good {
			return wrong("%s is %s", name, k.State)
		}
	}
	return nil
}

// conditions returns the state of each thing in the report by its name.
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

// tellsLost returns nil if the report calls the VM lost and has it in no group
// that is well.
func tellsLost(r status.Report, vm sardine.VMID) error {
	t, known := r.Target(vm)
	if !known || t.Condition.State != "lost" || t.Condition.Good {
		return wrong("target %s is %q, it is lost", vm, t.Condition.State)
	}
	for _, g := range r.Groups {
		for _, m := range g.Members {
			if m.VM == vm && g.Condition.Good {
				return wrong("group %s is %s with %s, which is lost", g.ID, g.Condition.State, vm)
			}
		}
	}
	return nil
}

// tellsOnly returns nil if the report names what is not well, and nothing else of
// that kind, with advice on what to do.
func tellsOnly(r status.Report, kind string, names ...string) error {
	expected := make(map[string]bool)
	for _, name := range names {
		expected[kind+" "+name] = true
	}
	for name, k := range conditions(r) {
		if len(name) <= len(kind) || name[:len(kind)+1] != kind+" " {
			continue
		}
		if k.Good == expected[name] {
			return wrong("%s is %s, wrongly", name, k.State)
		}
		if !k.Good && (k.System == "" || k.Person == "") {
			return wrong("%s is %s without advice", name, k.State)
		}
		delete(expected, name)
	}
	for name := range expected {
		return wrong("%s is not in the report", name)
	}
	return nil
}

// checked returns whether a promise is told as held.
func checked(r status.Report, name string) bool {
	for _, c := range r.Checks {
		if c.Name == name {
			return c.Held
		}
	}
	return false
}
