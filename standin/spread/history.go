package spread

import (
	"math"

	"github.com/anishathalye/porcupine"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
)

// register is a team's settings as a reader sees them.
type register struct {
	version sardine.Version
	change  string
}

// settingsModel checks one team's history: a change takes effect exactly when
// its base is the current version, and only then is it accepted; reads and lost
// races show the current version and who made it. An unanswered change may take
// effect at any time after its call.
func settingsModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{} },
		Step: func(s, input, output any) (bool, any) {
			now, ok := s.(register)
			o, isOperation := input.(*Operation)
			if !ok || !isOperation {
				return false, s
			}
			return o.step(now, output == true)
		},
	}
}

// step reports whether the operation may have had its outcome in a state, and
// the state after it.
func (o *Operation) step(now register, answered bool) (bool, register) {
	next := now
	if !o.Read && o.Base == now.version {
		next = register{version: o.Base + 1, change: o.ID}
	}
	switch {
	case !answered:
		return true, next
	case o.Accepted:
		return next != now && o.Version == next.version, next
	default:
		return next == now && o.Version == now.version && o.SeenChangeID == now.change, next
	}
}

// Linearizable reports whether every team's history can be explained by its
// operations having happened one after the other.
func (w *World) Linearizable() bool {
	byTeam := make(map[sardine.Team][]porcupine.Operation)
	for i, o := range w.History {
		p := porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.Call), Output: o.Return > 0, Return: int64(o.Return)}
		if o.Return == 0 {
			p.ClientId, p.Return = len(w.operators)+i, math.MaxInt64
		}
		byTeam[o.Team] = append(byTeam[o.Team], p)
	}
	for _, history := range byTeam {
		if !porcupine.CheckOperations(settingsModel(), history) {
			return false
		}
	}
	return true
}

// RandomOptions is the site of the random runs: one data centre without relays,
// one with a relay, three control nodes, three operators, all faults. Every
// fourth seed has teams that hold changes.
func RandomOptions(seed uint64) Options {
	const holdingLease = 15 * sardine.Second
	o := Options{Seed: seed, Controls: 3, Centres: []int{2, 9}, Operators: 3, Teams: 2, Faults: drive.AllFaults()}
	if seed%4 == 3 {
		o.HoldChanges, o.HoldingLease = true, holdingLease
	}
	return o
}
