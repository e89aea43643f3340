package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// programs builds the programs into a temporary folder and returns it.
func programs(t *testing.T) string {
	folder := t.TempDir()
	for _, name := range []string{"controld", "entryd/severd"} {
		out, err := exec.Command("go", "build", "-o", folder+"/", "../../"+name).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return folder
}

// TestSeeds runs each seed of testdata/seeds for a short time: real processes
// are killed, paused and isolated without a violation, and an injected defect
// must be detected.
func TestSeeds(t *testing.T) {
	text, err := os.ReadFile("testdata/seeds")
	require.NoError(t, err)
	built := programs(t)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		var length int
		var defect string
		_, err := fmt.Sscan(line, &seed, &length, &defect)
		require.NoError(t, err, line)
		o := Options{Seed: seed, Duration: time.Duration(length) * time.Millisecond, Programs: built}
		if defect != "none" {
			o.Defect = defect
		}
		r, err := Run(t.Context(), o)
		require.NoError(t, err, line)
		require.NotEmpty(t, r.Faults)
		if o.Defect == "" {
			require.Empty(t, r.Violations, "%slogs in %s", line, r.Folder)
		} else {
			require.NotEmpty(t, r.Violations, line)
		}
	}
}

// TestProxyDropsOneDirection checks that the proxy forwards in the modes
// forward and delay, and drops one direction in the others.
func TestProxyDropsOneDirection(t *testing.T) {
	for m, want := range map[mode]string{forward: "pong", delay: "pong", dropIn: "", dropOut: ""} {
		target := startServer(t, "pong")
		p, err := newProxy("127.0.0.1:0", target)
		require.NoError(t, err)
		p.set(m)
		require.Equal(t, want, ask(t, p.listener.Addr().String()), "mode %d", m)
		p.close()
	}
}
