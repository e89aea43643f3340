package annc

import (
	"unicode/utf8"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Check returns an error for the first field of an announcement that is invalid,
// whichever protocol the announcement arrived by. Errors have the code
// codes.BadRequest. It does not check the load.
func Check(a sardine.Announcement) error {
	checks := []func(sardine.Announcement) error{checkIdentity, checkKind, checkModels, checkHolding}
	for _, check := range checks {
		if err := check(a); err != nil {
			return err
		}
	}
	return nil
}

func checkIdentity(a sardine.Announcement) error {
	if err := checkName("vm", string(a.VM), true); err != nil {
		return err
	}
	if a.Incarnation == 0 {
		return fieldError("incarnation", "0", "1 or more, rising with each start")
	}
	if !validAddress(a.Address) {
		return fieldError("address", a.Address, "IP number and port, such as 10.0.0.7:8000")
	}
	if a.Sequence > MaxExactInteger {
		return codes.New(codes.BadRequest, "announcement: serial: found %d, expected at most %d", a.Sequence, uint64(MaxExactInteger))
	}
	return checkName("data_centre", string(a.DataCentre), true)
}

func checkKind(a sardine.Announcement) error {
	if a.Kind == sardine.KindPlain {
		return checkName("service", string(a.Service), true)
	}
	if err := checkName("domain", string(a.Domain), true); err != nil {
		return err
	}
	if a.Accelerators < 0 || a.Accelerators > MaxAccelerators {
		return codes.New(codes.BadRequest, "announcement: accelerators: found %d, expected 0 to %d", a.Accelerators, MaxAccelerators)
	}
	return nil
}

func checkModels(a sardine.Announcement) error {
	if err := checkNames("loadable", a.Loadable); err != nil {
		return err
	}
	return checkNames("staged", a.Staged)
}

func checkNames(field string, names []sardine.ModelName) error {
	if len(names) > MaxLoadable {
		return codes.New(codes.BadRequest, "announcement: %s: found %d models, expected at most %d", field, len(names), MaxLoadable)
	}
	for _, name := range names {
		if err := checkName(field, string(name), true); err != nil {
			return err
		}
	}
	return nil
}

func checkHolding(a sardine.Announcement) error {
	h := a.CurrentOrder
	for _, f := range []struct{ field, value string }{
		{"holding.group", string(h.Group)}, {"holding.model", string(h.Model)}, {"holding.version", h.Version},
	} {
		if err := checkName(f.field, f.value, false); err != nil {
			return err
		}
	}
	if h.Rank < 0 || h.Rank >= MaxAccelerators {
		return codes.New(codes.BadRequest, "announcement: holding.rank: found %d, expected 0 to %d", h.Rank, MaxAccelerators-1)
	}
	if h.Epoch > MaxExactInteger {
		return codes.New(codes.BadRequest, "announcement: holding.epoch: found %d, expected at most %d", h.Epoch, uint64(MaxExactInteger))
	}
	if h.State != sardine.MemberIdle && (h.Group == "" || h.Epoch == 0) {
		return fieldError("holding.group", string(h.Group), "a group and an epoch with state "+h.State.String())
	}
	return nil
}

func (m message) checkLoad() error {
	if m.Load.Running < 0 || m.Load.Running > maxCount {
		return codes.New(codes.BadRequest, "announcement: load.running: found %d, expected 0 to %d", m.Load.Running, maxCount)
	}
	if m.Load.Queued < 0 || m.Load.Queued > maxCount {
		return codes.New(codes.BadRequest, "announcement: load.queued: found %d, expected 0 to %d", m.Load.Queued, maxCount)
	}
	if m.Load.StepMillis < 0 || m.Load.StepMillis > maxStepMillis {
		return codes.New(codes.BadRequest, "announcement: load.step_ms: found %g, expected 0 to %g", m.Load.StepMillis, float64(maxStepMillis))
	}
	if m.Load.TokensPerSecond < 0 || m.Load.TokensPerSecond > maxTokens {
		return codes.New(codes.BadRequest, "announcement: load.tokens_per_second: found %g, expected 0 to %g", m.Load.TokensPerSecond, float64(maxTokens))
	}
	return nil
}

func checkName(field, value string, required bool) error {
	if value == "" {
		if required {
			return fieldError(field, "", "a name")
		}
		return nil
	}
	if len(value) > MaxNameBytes {
		return codes.New(codes.BadRequest, "announcement: %s: found %d bytes, expected at most %d", field, len(value), MaxNameBytes)
	}
	if !utf8.ValidString(value) {
		return fieldError(field, value, "valid UTF-8")
	}
	for _, c := range value {
		if c <= ' ' || c == 0x7f || c == utf8.RuneError {
			return fieldError(field, value, "a name without spaces and control characters")
		}
	}
	return nil
}

func fieldError(field, found, expected string) error {
	return codes.New(codes.BadRequest, "announcement: %s: found %q, expected %s", field, found, expected)
}
