package reach

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

// line returns a log line of a node at a time in Unix milliseconds.
func line(at int64, node string, id event.ID, fields string) string {
	return fmt.Sprintf(`{"time":%q,"msg":%q,"node":%q,"event":%d%s}`, time.UnixMilli(at).UTC().Format(time.RFC3339Nano), id.Row().Name, node, id, fields)
}

// read returns the report on lines that can all be parsed.
func read(t *testing.T, lines ...string) *Report {
	r := NewReader()
	require.NoError(t, r.Read(strings.NewReader(strings.Join(lines, "\n"))))
	require.Zero(t, r.Unparsed())
	require.Equal(t, len(lines), r.Lines())
	return NewReport(r)
}

func TestMissingNodesOfAChange(t *testing.T) {
	report := read(
		t,
		line(100, "e1", event.LayoutInForce, `,"number":1`),
		line(100, "e2", event.LayoutInForce, `,"number":1`),
		line(100, "e3", event.LayoutInForce, `,"number":1`),
		line(1000, "c1", event.ChangeAccepted, `,"number":2`),
		line(1200, "e1", event.LayoutInForce, `,"number":3`), // 3 replaced 2 before 2 arrived
		line(1500, "e3", event.NodeStarted, ""),
		line(1900, "c1", event.ChangeAccepted, `,"number":2,"repeat":true`),
		line(2000, "e4", event.LayoutInForce, `,"number":3`), // its first layout, after the change
	)
	require.Len(t, report.Changes(), 1)
	change := report.Changes()[0]
	require.EqualValues(t, 2, change.Number())
	require.EqualValues(t, 1000, change.At())
	require.Equal(t, []string{"e2"}, change.Missing())
	require.Equal(t, 1, change.Nodes())
	require.Equal(t, Lag{node: "e1", duration: 200}, change.Slowest())
}

func TestLinesInAnyOrder(t *testing.T) {
	report := read(
		t,
		line(2500, "e1", event.LayoutInForce, `,"number":2`),
		line(1000, "c1", event.ChangeAccepted, `,"number":2`),
		line(100, "e1", event.LayoutInForce, `,"number":1`),
		line(2600, "e1", event.SettingsFresh, `,"after_ms":2400`),
		line(2000, "e1", event.SettingsStale, `,"age_ms":1601`),
		line(3000, "e2", event.SettingsStale, `,"age_ms":1601`),
	)
	slowest, found := report.Slowest()
	require.True(t, found)
	require.EqualValues(t, 1500, slowest.Slowest().Duration())
	require.Len(t, report.Stale(), 2)
	require.EqualValues(t, 2400, report.Stale()[0].Duration())
	require.Zero(t, report.Stale()[1].Duration(), "not renewed")
}

func TestReportWithoutUsableLines(t *testing.T) {
	report := read(t, "not a log line of a node")
	_, found := report.Slowest()
	require.False(t, found)
	require.Empty(t, report.Stale())
	r := NewReader()
	require.True(t, codes.Is(r.Read(strings.NewReader(strings.Repeat("x", 2<<20))), codes.UsageError))
	require.NoError(t, NewReader().Read(strings.NewReader(`{"msg":"layout_in_force"`)), "a truncated line is counted, not an error")
}
