package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// ReportToWire returns the protobuf message of a target report.
func ReportToWire(r TargetReport) *wire.TargetReport {
	w := &wire.TargetReport{
		Home:        string(r.Home),
		Incarnation: uint64(r.Incarnation),
		Sequence:    r.Sequence,
		Full:        r.Full,
		Urgent:      r.Urgent,
	}
	for _, s := range r.Targets {
		w.Targets = append(w.Targets, StatusToWire(s))
	}
	for _, ref := range r.Lost {
		w.Lost = append(w.Lost, &wire.TargetRef{Vm: string(ref.VM), Incarnation: uint64(ref.Incarnation)})
	}
	return w
}

// ReportFromWire is the inverse of ReportToWire.
func ReportFromWire(w *wire.TargetReport) TargetReport {
	r := TargetReport{
		Home:        sardine.NodeID(w.GetHome()),
		Incarnation: sardine.Incarnation(w.GetIncarnation()),
		Sequence:    w.GetSequence(),
		Full:        w.GetFull(),
		Urgent:      w.GetUrgent(),
	}
	for _, s := range w.GetTargets() {
		r.Targets = append(r.Targets, StatusFromWire(s))
	}
	for _, ref := range w.GetLost() {
		r.Lost = append(r.Lost, TargetRef{VM: sardine.VMID(ref.GetVm()), Incarnation: sardine.Incarnation(ref.GetIncarnation())})
	}
	return r
}

// ReportOf converts a home node's report to the form that is sent.
func ReportOf(r fleet.Report, urgent bool) TargetReport {
	mapped := TargetReport{
		Home:        r.Home,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Full:        r.Full,
		Urgent:      urgent,
	}
	for _, s := range r.Statuses {
		mapped.Targets = append(mapped.Targets, TargetStatus{
			Target:       state.TargetOf(s.Announcement),
			CurrentOrder: s.CurrentOrder,
			Load:         s.Load,
			Staged:       s.Staged,
			Sequence:     s.Sequence,
			Age:          s.Age,
		})
	}
	for _, ref := range r.Lost {
		mapped.Lost = append(mapped.Lost, TargetRef{VM: ref.VM, Incarnation: ref.Incarnation})
	}
	return mapped
}

// StatusToWire returns the protobuf message of a target's status.
func StatusToWire(s TargetStatus) *wire.TargetStatus {
	return &wire.TargetStatus{
		Target:          state.TargetToWire(s.Target),
		Group:           string(s.CurrentOrder.Group),
		Epoch:           uint64(s.CurrentOrder.Epoch),
		Rank:            uint32(s.CurrentOrder.Rank),
		State:           uint32(s.CurrentOrder.State),
		Model:           string(s.CurrentOrder.Model),
		Version:         s.CurrentOrder.Version,
		Running:         uint32(s.Load.Running),
		Queued:          uint32(s.Load.Queued),
		TokensPerSecond: s.Load.TokensPerSecond,
		StepMillis:      s.Load.StepMillis,
		Staged:          namesToWire(s.Staged),
		Serial:          s.Sequence,
		AgeMillis:       uint32(max(s.Age, 0)),
	}
}

func namesToWire(models []sardine.ModelName) []string {
	var names []string
	for _, m := range models {
		names = append(names, string(m))
	}
	return names
}

func namesFromWire(names []string) []sardine.ModelName {
	var models []sardine.ModelName
	for _, name := range names {
		models = append(models, sardine.ModelName(name))
	}
	return models
}

// StatusFromWire is the inverse of StatusToWire.
func StatusFromWire(w *wire.TargetStatus) TargetStatus {
	return TargetStatus{
		Target: state.TargetFromWire(w.GetTarget()),
		CurrentOrder: sardine.CurrentOrder{
			Group:   sardine.GroupID(w.GetGroup()),
			Epoch:   sardine.Epoch(w.GetEpoch()),
			Rank:    int(w.GetRank()),
			Model:   sardine.ModelName(w.GetModel()),
			Version: w.GetVersion(),
			State:   sardine.MemberState(w.GetState()),
		},
		Load: sardine.Load{
			Running:         int(w.GetRunning()),
			Queued:          int(w.GetQueued()),
			TokensPerSecond: w.GetTokensPerSecond(),
			StepMillis:      w.GetStepMillis(),
		},
		Staged:   namesFromWire(w.GetStaged()),
		Sequence: w.GetSerial(),
		Age:      sardine.Millis(w.GetAgeMillis()),
	}
}
