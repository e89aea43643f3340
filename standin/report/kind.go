package report

import (
	"encoding/json"

	"sardineswitch.dev/sardine/codes"
)

// kind describes one kind of result: the JSON keys that identify it and the
// function that builds its section.
type kind struct {
	name  string
	keys  []string // keys of the object, or of the first object of the list
	build func(line []byte) (Section, error)
}

// kinds returns the known kinds of results. A result is of the first kind whose
// keys it has all.
func kinds() []kind {
	return []kind{
		{"routing", []string{"policies", "requests"}, buildRouting},
		{"admission", []string{"goodput_share", "jain"}, buildAdmission},
		{"claims", []string{"core_claims_per_second"}, buildClaims},
		{"limits", []string{"cases"}, buildLimits},
		{"groups --compare", []string{"schedule", "best"}, buildGroupMeans},
		{"groups", []string{"schedule", "groups_hit"}, buildGroups},
		{"quorum", []string{"violations", "confirmed_reads"}, buildQuorum},
		{"log", []string{"restart_read_ms"}, buildLog},
		{"settings", []string{"refusals_without_lease"}, buildSettings},
		{"config", []string{"submitted_to_last_node"}, buildConfig},
		{"scale", []string{"points", "slopes"}, buildScale},
		{"entry", []string{"net_http", "at_target"}, buildEntry},
		{"chaos", []string{"faults", "mended_ms"}, buildChaos},
		{"failed", []string{"failed_measure"}, buildFailed},
	}
}

// builderFor returns the function that builds the section of a result.
func builderFor(line []byte) (func([]byte) (Section, error), error) {
	fields, err := topLevelFields(line)
	if err != nil {
		return nil, err
	}
	for _, k := range kinds() {
		if hasAll(fields, k.keys) {
			return k.build, nil
		}
	}
	return nil, codes.New(codes.BadRequest, "the last line is the result of no known measure")
}

// topLevelFields returns the fields of a JSON object, or those of the first
// object of a list.
func topLevelFields(line []byte) (map[string]json.RawMessage, error) {
	var one map[string]json.RawMessage
	if json.Unmarshal(line, &one) == nil && one != nil {
		return one, nil
	}
	var list []map[string]json.RawMessage
	if json.Unmarshal(line, &list) == nil && len(list) > 0 {
		return list[0], nil
	}
	return nil, codes.New(codes.BadRequest, "the last line is neither a JSON object nor a list of objects")
}

func hasAll(fields map[string]json.RawMessage, keys []string) bool {
	for _, k := range keys {
		if _, found := fields[k]; !found {
			return false
		}
	}
	return true
}
