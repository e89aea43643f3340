package start

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/ports"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/store"
)

// writeSurvivor writes the settings file and the data folder of legon-control, which has
// lost the two other voters of its site.
func writeSurvivor(t *testing.T) (file string, internal string) {
	t.Helper()
	block, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(block.Release)
	addresses, err := block.Addresses(2)
	require.NoError(t, err)
	folder := t.TempDir()
	d, err := disk.NewFolder(folder)
	require.NoError(t, err)
	files, _, err := store.Open(d, store.Identity{Site: "accra", Node: "legon-control"})
	require.NoError(t, err)
	_, err = files.Bootstrap([]quorum.Member{{Node: "osu-control"}, {Node: "tema-control"}, {Node: "legon-control", Address: addresses[0]}}, true)
	require.NoError(t, err)
	require.NoError(t, files.Write(quorum.Write{Entries: []quorum.Entry{{Index: 2, Term: 1, Kind: quorum.KindEmpty}}}))
	require.NoError(t, files.Close())
	text := fmt.Sprintf("node = %q\nsite = %q\ndata_centre = %q\ndata_folder = %q\nlisten_internal = %q\nlisten_operators = %q\nmembers = [{ node = %q, address = %q }]\n",
		"legon-control", "accra", "legon", folder, addresses[0], addresses[1], "legon-control", addresses[0])
	file = filepath.Join(t.TempDir(), "controld.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file, addresses[0]
}

func runMain(args ...string) (exit int, printed string) {
	var out strings.Builder
	exit = Main(args, &out, &out)
	return exit, out.String()
}

// Guards against a site whose last control node can't go on, and against a rescue that
// was not asked for by name or while controld runs.
func TestRescuedNodeLeadsAlone(t *testing.T) {
	file, internal := writeSurvivor(t)
	exit, printed := runMain("rescue", file)
	require.Zero(t, exit, printed)
	require.Contains(t, printed, "legon-control: last entry 1:2")
	require.Contains(t, printed, "the other voters: osu-control, tema-control")

	lost := []string{"rescue", file, "--lost", "osu-control,tema-control"}
	for want, args := range map[string][]string{
		"tema-control must be named": {"rescue", file, "--lost", "osu-control"},
		"which is a quorum":          {"rescue", file, "--lost", "osu-control", "--survivor", "tema-control=1:1"},
		"is newer":                   {"rescue", file, "--survivor", "osu-control=1:3", "--survivor", "tema-control=1:1"},
		"NODE=TERM:INDEX":            {"rescue", file, "--survivor", "osu-control=3"},
		"no such file":               {"rescue", filepath.Join(t.TempDir(), "none")},
	} {
		exit, printed = runMain(args...)
		require.Equal(t, 1, exit, want)
		require.Contains(t, printed, want)
	}
	running, err := net.Listen("tcp", internal)
	require.NoError(t, err)
	exit, printed = runMain(lost...)
	require.Equal(t, 1, exit)
	require.Contains(t, printed, "stop controld first")
	require.NoError(t, running.Close())

	exit, printed = runMain(lost...)
	require.Zero(t, exit, printed)
	settings, err := conf.LoadControl(file)
	require.NoError(t, err)
	lines := logs.NewAsync(io.Discard)
	defer lines.Close()
	n, err := newNode(settings, logs.Discard(), lines)
	require.NoError(t, err)
	n.Start()
	require.Eventually(t, func() bool { return n.Report().Leader == "legon-control" }, 10*time.Second, 20*time.Millisecond)
	require.Len(t, n.Voters(), 1)
	require.True(t, n.Report().Checks[0].Passed, "settings can be changed")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, n.Stop(ctx))
}
