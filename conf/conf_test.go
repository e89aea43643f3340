package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/team"
	"sardineswitch.dev/sardine/tomlr"
)

// TestSettingsFiles parses the files of testdata and compares their errors.
func TestSettingsFiles(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var err error
			switch d.Cmd {
			case "entry":
				_, err = ParseEntry("entry.toml", []byte(d.Input))
			case "control":
				_, err = ParseControl("control.toml", []byte(d.Input))
			}
			if err == nil {
				return "accepted\n"
			}
			require.True(t, codes.Is(err, codes.BadSettings))
			require.NotEmpty(t, tomlr.Problems(err))
			return err.Error() + "\n"
		})
	})
}

// TestExamples loads every example and checks that the nodes of a site list the
// same control nodes.
func TestExamples(t *testing.T) {
	for _, site := range []string{"accra", "nordeste"} {
		files, err := filepath.Glob(filepath.Join("..", "examples", site, "*.toml"))
		require.NoError(t, err)
		require.Len(t, files, 12)
		var peers []Peer
		same := func(found []Peer) {
			if peers == nil {
				peers = found
			}
			require.Equal(t, peers, found)
		}
		for _, file := range files {
			if strings.Contains(file, "control") {
				c, err := LoadControl(file)
				require.NoError(t, err)
				require.Equal(t, site, c.Site())
				require.Equal(t, string(c.Node())+".toml", filepath.Base(file))
				same(c.Members())
				continue
			}
			e, err := LoadEntry(file)
			require.NoError(t, err)
			require.Equal(t, site, e.Site())
			require.Equal(t, string(e.Node())+".toml", filepath.Base(file))
			require.Equal(t, e.ListenInternal(), e.AdvertiseInternal())
			same(e.Controls())
		}
	}
}

func TestDefaultsWithoutTables(t *testing.T) {
	e, err := ParseEntry("e", []byte(`node = "n"
site = "s"
data_centre = "d"
listen = "127.0.0.1:0"
listen_targets = "127.0.0.1:0"
listen_internal = "127.0.0.1:0"
controls = [{ node = "c", address = "127.0.0.1:1" }]`))
	require.NoError(t, err)
	require.EqualValues(t, 3500, e.Timings().ServingLease())
	require.Equal(t, 2000, e.Limits().Requests())
	require.Equal(t, "text", e.Log().Format())
	require.False(t, e.TLS().Enabled())
	require.Empty(t, e.AdvertiseTargets())
	_, err = LoadEntry(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzParseEntry(f *testing.F) {
	text, err := os.ReadFile("../examples/accra/osu-entry-1.toml")
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = ParseEntry("fuzz", text)
	})
}

// TestTeamExamples checks the example documents of both sites' teams.
func TestTeamExamples(t *testing.T) {
	for file, name := range map[string]sardine.Team{"accra/teams/adinkra.toml": "adinkra", "nordeste/teams/dobra_fina.toml": "dobra_fina"} {
		text, err := os.ReadFile(filepath.Join("..", "examples", file))
		require.NoError(t, err)
		s, err := team.Parse(name, string(text))
		require.NoError(t, err)
		require.Len(t, s.Deployments, 2)
		require.Len(t, s.Tenants, 3)
		require.NoError(t, team.CheckSite(s, nil))
	}
}
