package team

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

// Limits of the values of one document.
const (
	maxDeployments = 200
	maxWorkspaces  = 2000
	maxGroupSize   = 64
	maxGroups      = 10_000
	maxSpares      = 64
	keyHashBytes   = 32 // SHA-256
)

// Parse parses and checks a team's whole document. Its error is
// codes.BadSettings and wraps Problems, or codes.TooLarge.
func Parse(team sardine.Team, document string) (sardine.TeamSettings, error) {
	root, err := ParsePath("/" + pathRoot + "/" + string(team))
	if err != nil {
		return sardine.TeamSettings{}, err
	}
	parsed, err := parseTree(root, document)
	if err != nil {
		return sardine.TeamSettings{}, err
	}
	r := &reader{tree: parsed}
	s := r.settings(team)
	if err := r.problems.asError(); err != nil {
		return sardine.TeamSettings{}, err
	}
	return s, nil
}

func (r *reader) settings(team sardine.Team) sardine.TeamSettings {
	t := r.root()
	s := sardine.TeamSettings{
		Team:      team,
		Objective: objective(t.table("objective")),
		Cut:       cutPolicy(t),
	}
	t.table("deployments").each(func(name string, child *table) {
		s.Deployments = append(s.Deployments, deployment(name, child))
	})
	t.table("workspaces").each(func(name string, child *table) {
		s.Tenants = append(s.Tenants, workspace(name, child, s.Deployments))
	})
	t.reportUnknown()
	checkCount(t, "deployments", len(s.Deployments), maxDeployments)
	checkCount(t, "workspaces", len(s.Tenants), maxWorkspaces)
	return s
}

func checkCount(t *table, key string, count, limit int) {
	if count > limit {
		t.reportProblem(key, fmt.Sprintf("%d %s", count, key), fmt.Sprintf("at most %d", limit))
	}
}

func objective(t *table) sardine.Objective {
	o := sardine.Objective{
		DowntimeWeight: t.number("downtime_weight", false, 1),
		StrandedWeight: t.number("stranded_weight", false, 1),
	}
	if o.DowntimeWeight == 0 && o.StrandedWeight == 0 {
		t.reportProblem("downtime_weight", "0 for both weights", "at least one weight above 0")
	}
	t.reportUnknown()
	return o
}

var cutPolicies = map[string]sardine.CutPolicy{
	"":                sardine.CutRefuseRequests,
	"refuse_requests": sardine.CutRefuseRequests,
	"hold_changes":    sardine.CutHoldChanges,
}

func cutPolicy(t *table) sardine.CutPolicy {
	text := t.text("cut_policy", false)
	policy, known := cutPolicies[text]
	if !known {
		t.reportProblem("cut_policy", fmt.Sprintf("%q", text), `"refuse_requests" or "hold_changes"`)
	}
	return policy
}

func deployment(name string, t *table) sardine.Deployment {
	d := sardine.Deployment{Name: sardine.ServiceName(name), Value: t.number("value", true, 1)}
	switch kind := t.text("kind", true); kind {
	case "engine":
		d.Kind = sardine.KindEngine
		engineFields(&d, t)
	case "plain":
		d.Kind = sardine.KindPlain
		plainFields(&d, t)
	default:
		if kind != "" {
			t.reportProblem("kind", fmt.Sprintf("%q", kind), `"engine" or "plain"`)
		}
		return d // the other keys depend on the kind
	}
	t.reportUnknown()
	return d
}

func engineFields(d *sardine.Deployment, t *table) {
	d.Model = sardine.ModelName(t.text("model", true))
	d.ModelVersion = t.text("model_version", true)
	d.GroupSize = t.integer("group_size", true, 1, maxGroupSize, 1)
	d.Groups = t.integer("groups", true, 0, maxGroups, maxGroups)
	d.Floor = t.integer("floor", false, 0, maxGroups, 0)
	d.Spares = t.integer("spares", false, 0, maxSpares, 0)
	if d.Floor > d.Groups {
		t.reportProblem("floor", fmt.Sprintf("%d", d.Floor), fmt.Sprintf("at most groups, which is %d; lower floor or raise groups", d.Groups))
	}
	reject(t, "idempotent", `only with kind = "plain", remove it`)
}

var engineOnly = []string{"model", "model_version", "group_size", "groups", "floor", "spares"}

// methods lists the HTTP methods that a plain service may be called with.
var methods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

func plainFields(d *sardine.Deployment, t *table) {
	list, set := t.texts("idempotent")
	if !set {
		list = []string{"GET", "HEAD", "OPTIONS"}
	}
	for _, method := range list {
		if !slices.Contains(methods, method) {
			t.reportProblem("idempotent", fmt.Sprintf("%q", method), "methods out of "+strings.Join(methods, ", "))
		}
	}
	d.Idempotent = list
	for _, key := range engineOnly {
		reject(t, key, `only with kind = "engine", remove it`)
	}
}

// reject reports a key that is not allowed for the deployment's kind.
func reject(t *table, key, expected string) {
	if v, set := t.values[key]; set {
		t.known = append(t.known, key)
		t.reportProblem(key, describe(v), expected)
	}
}

func workspace(name string, t *table, deployments []sardine.Deployment) sardine.Tenant {
	w := sardine.Tenant{
		Name:              sardine.Workspace(name),
		Weight:            t.number("weight", true, 1),
		RequestsPerSecond: t.number("requests_per_second", false, 0),
		TokensPerSecond:   t.number("tokens_per_second", false, 0),
		Services:          services(t, deployments),
		Key:               keyHash(t),
	}
	t.reportUnknown()
	return w
}

// services returns the deployments that a workspace may call: the listed ones,
// or all of the team if the key is absent.
func services(t *table, deployments []sardine.Deployment) []sardine.ServiceName {
	names := make([]string, len(deployments))
	for i, d := range deployments {
		names[i] = string(d.Name)
	}
	list, set := t.texts("services")
	if !set {
		list = names
	}
	all := make([]sardine.ServiceName, 0, len(list))
	for _, name := range list {
		if !slices.Contains(names, name) {
			t.reportProblem("services", fmt.Sprintf("%q, which is no deployment", name), "deployments out of "+strings.Join(names, ", "))
		}
		all = append(all, sardine.ServiceName(name))
	}
	return all
}

func keyHash(t *table) string {
	text := t.text("key_hash", false)
	raw, err := hex.DecodeString(text)
	if text != "" && (err != nil || len(raw) != keyHashBytes) {
		t.reportProblem("key_hash", fmt.Sprintf("a text of %d characters", len(text)), "the SHA-256 of the token in 64 hex digits, as sardctl token prints it")
	}
	return strings.ToLower(text)
}
