package state

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Strikes returns the groups that failed while they ran a request with the
// fingerprint.
func (m *Machine) Strikes(fingerprint []byte) []sardine.GroupID {
	return slices.Clone(m.poisons[string(fingerprint)].Groups)
}
