package annc

import (
	"unicode/utf8"

	"sardineswitch.dev/sardine/codes"
)

// check returns the first field that is out of range.
func (m message) check() error {
	checks := []func() error{
		m.checkIdentity, m.checkKind, m.checkLoadable, m.checkHolding, m.checkLoad,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (m message) checkIdentity() error {
	if err := checkName("vm", m.VM, true); err != nil {
		return err
	}
	if m.Incarnation == 0 {
		return refuse("incarnation", "0", "1 or more, rising with each start")
	}
	if !validAddress(m.Address) {
		return refuse("address", m.Address, "IP number and port, such as 10.0.0.7:8000")
	}
	if err := checkName("data_centre", m.DataCentre, true); err != nil {
		return err
	}
	return nil
}

func (m message) checkKind() error {
	switch m.Kind {
	case "engine":
		if err := checkName("domain", m.Domain, true); err != nil {
			return err
		}
		if m.Accelerators < 0 || m.Accelerators > MaxAccelerators {
			return codes.New(codes.BadRequest, "announcement: accelerators: found %d, expected 0 to %d", m.Accelerators, MaxAccelerators)
		}
		return nil
	case "plain":
		return checkName("service", m.Service, true)
	default:
		return refuse("kind", m.Kind, "engine or plain")
	}
}

func (m message) checkLoadable() error {
	if len(m.Loadable) > MaxLoadable {
		return codes.New(codes.BadRequest, "announcement: loadable: found %d models, expected at most %d", len(m.Loadable), MaxLoadable)
	}
	for _, name := range m.Loadable {
		if err := checkName("loadable", name, true); err != nil {
			return err
		}
	}
	return nil
}

func (m message) checkHolding() error {
	h := m.Holding
	state, known := states(h.State)
	if !known {
		return refuse("holding.state", h.State, "idle, loading, ready or failed")
	}
	for _, f := range []struct{ field, value string }{
		{"holding.group", h.Group}, {"holding.model", h.Model}, {"holding.version", h.Version},
	} {
		if err := checkName(f.field, f.value, false); err != nil {
			return err
		}
	}
	if h.Rank < 0 || h.Rank >= MaxAccelerators {
		return codes.New(codes.BadRequest, "announcement: holding.rank: found %d, expected 0 to %d", h.Rank, MaxAccelerators-1)
	}
	if state != 0 && (h.Group == "" || h.Epoch == 0) {
		return refuse("holding.group", h.Group, "a group and an epoch with state "+h.State)
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
			return refuse(field, "", "a name")
		}
		return nil
	}
	if len(value) > MaxNameBytes {
		return codes.New(codes.BadRequest, "announcement: %s: found %d bytes, expected at most %d", field, len(value), MaxNameBytes)
	}
	if !utf8.ValidString(value) {
		return refuse(field, value, "valid UTF-8")
	}
	for _, c := range value {
		if c <= ' ' || c == 0x7f || c == utf8.RuneError {
			return refuse(field, value, "a name without spaces and control characters")
		}
	}
	return nil
}

func refuse(field, found, expected string) error {
	return codes.New(codes.BadRequest, "announcement: %s: found %q, expected %s", field, found, expected)
}
