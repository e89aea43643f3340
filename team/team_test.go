package team

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// TestScripts runs the scripts of testdata. Each works on one document.
// Commands: document, parse, get, merge, replace, delete, diff (against the
// document before the last edit).
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		s := &script{}
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	document string
	previous string
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	path := "/teams/adinkra"
	if len(d.CmdArgs) > 0 {
		path = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "document":
		s.document = d.Input
		return ""
	case "parse":
		settings, err := Parse("adinkra", s.document)
		return answer(fmt.Sprintf("%+v\n", settings), err)
	case "get":
		return answer(Get(s.document, path))
	case "merge":
		return s.edit(Merge(s.document, path, d.Input))
	case "replace":
		return s.edit(Replace(s.document, path, d.Input))
	case "delete":
		return s.edit(Delete(s.document, path))
	case "diff":
		return s.diff()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) edit(document string, err error) string {
	if err == nil {
		s.previous, s.document = s.document, document
	}
	return answer(document, err)
}

func (s *script) diff() string {
	all, err := Diff("/teams/adinkra", s.previous, s.document)
	var b strings.Builder
	for _, d := range all {
		fmt.Fprintln(&b, d)
	}
	return answer(b.String(), err)
}

func answer(text string, err error) string {
	var problems Problems
	if errors.As(err, &problems) {
		return fmt.Sprintf("%s\n%s\n", codes.Of(err).Name(), problems)
	}
	if err != nil {
		return err.Error() + "\n"
	}
	return text
}

func TestCheckSite(t *testing.T) {
	a := sardine.TeamSettings{Team: "a", Tenants: []sardine.Tenant{{Name: "one"}}}
	b := sardine.TeamSettings{Team: "b", Tenants: []sardine.Tenant{{Name: "two"}}}
	require.NoError(t, CheckSite(a, []sardine.TeamSettings{a, b}))
	b.Tenants[0].Name = "one"
	require.Equal(t, codes.BadSettings, codes.Of(CheckSite(b, []sardine.TeamSettings{a, b})))
}

// FuzzParse looks for panics, and for accepted documents whose settings change
// when an empty fragment is merged.
func FuzzParse(f *testing.F) {
	f.Add("")
	f.Add("cut_policy = \"hold_changes\"\n[objective]\ndowntime_weight = 2\n")
	f.Add("[deployments.a]\nkind = \"plain\"\nidempotent = [\"GET\"]\n[workspaces.w]\nservices = [\"a\"]\n")
	f.Add("[deployments]\na = {kind = \"engine\", model = \"m\", model_version = \"1\", group_size = 2, groups = 1}\n")
	f.Add("[[deployments]]\nx = nan\n[workspaces.\"\\u00e9\"]\nweight = 1e400\n")
	f.Add("a.b.c = 1979-05-27T07:32:00Z\n\"\" = 1\n")
	f.Fuzz(func(t *testing.T, document string) {
		settings, err := Parse("adinkra", document)
		if err != nil {
			require.Contains(t, []codes.Code{codes.BadSettings, codes.TooLarge}, codes.Of(err))
			return
		}
		merged, err := Merge(document, "/teams/adinkra", "")
		require.NoError(t, err)
		again, err := Parse("adinkra", merged)
		require.NoError(t, err)
		require.Equal(t, settings, again)
	})
}
