package logs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/event"
)

func settings(t *testing.T, log string) conf.Log {
	e, err := conf.ParseEntry("e", []byte(`node = "n"
site = "s"
data_centre = "d"
listen = "127.0.0.1:0"
listen_targets = "127.0.0.1:0"
listen_internal = "127.0.0.1:0"
controls = [{ node = "c", address = "127.0.0.1:1" }]
[log]
`+log))
	require.NoError(t, err)
	return e.Log()
}

func TestFormatsAndLevels(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, settings(t, "format = \"json\"\nlevel = \"warn\""), "n")
	event.Log(l, event.NodeStarted)
	require.Empty(t, b.String())
	event.Log(l, event.TargetLost, slog.String("vm", "vm-1"))
	line := map[string]any{}
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.EqualValues(t, event.TargetLost, line["event"])
	require.Equal(t, "n", line["node"])
	b.Reset()
	event.Log(New(&b, settings(t, ""), "n"), event.NodeStarted)
	require.Contains(t, b.String(), "level=INFO msg=node_started node=n event=100")
}
