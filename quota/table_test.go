package quota

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values string // separated by |
		rate   float64
		stated bool
		valid  bool
	}{
		{"6.8", 6.8, true, true},
		{" 1e1 ", 10, true, true},
		{"0", 0, true, true},
		{"-0", 0, true, true},
		{"7|3.5", 3.5, true, true},
		{"7, 3.5", 3.5, true, true},
		{"x|3", 3, true, true},
		{"inf", 0, false, true},
		{"1e300", 0, false, true},
		{"1e999", 0, false, true},
		{"inf|4", 4, true, true},
		{"", 0, false, false},
		{"-1", 0, false, false},
		{"-inf", 0, false, false},
		{"NaN", 0, false, false},
		{"0x10", 0, false, false},
		{"many", 0, false, false},
	} {
		rate, stated, err := ParseLimit(strings.Split(c.values, "|"))
		assert.Equal(t, c.valid, err == nil, c.values)
		assert.Equal(t, c.stated, stated, c.values)
		assert.Equal(t, c.rate, rate, c.values)
	}
	_, stated, err := ParseLimit(nil)
	require.NoError(t, err)
	require.False(t, stated)
}

// TestOrderOfAnswers checks which limit holds after answers that arrive in different
// orders. Unlimited stands for an answer without a limit.
func TestOrderOfAnswers(t *testing.T) {
	type answer struct {
		sent, at sardine.Millis
		limit    float64
		failed   bool
	}
	for name, c := range map[string]struct {
		answers []answer
		want    float64
	}{
		"stated":                       {[]answer{{0, 10, 5, false}}, 5},
		"stated by a refusal":          {[]answer{{0, 10, 5, true}}, 5},
		"lowered":                      {[]answer{{0, 10, 5, false}, {5, 20, 2, false}}, 2},
		"raised at once":               {[]answer{{0, 10, 5, false}, {5, 20, 8, false}}, 5},
		"raised":                       {[]answer{{0, 10, 5, false}, {5, 20, 8, false}, {20, 3020, 8, false}}, 8},
		"sent before":                  {[]answer{{0, 4000, 5, false}, {10, 9000, Unlimited, false}, {20, 9500, Unlimited, false}}, 5},
		"one without":                  {[]answer{{0, 10, 5, false}, {4000, 4010, Unlimited, false}}, 5},
		"two without":                  {[]answer{{0, 10, 5, false}, {4000, 4010, Unlimited, false}, {8000, 8010, Unlimited, false}}, Unlimited},
		"two failures without":         {[]answer{{0, 10, 5, false}, {4000, 4010, Unlimited, true}, {8000, 8010, Unlimited, true}}, 5},
		"alternating":                  {[]answer{{0, 10, 5, false}, {4000, 4010, Unlimited, false}, {5000, 5010, 5, false}, {9000, 9010, Unlimited, false}}, 5},
		"never stated":                 {[]answer{{0, 10, Unlimited, false}}, Unlimited},
		"stated after it was removed":  {[]answer{{0, 10, 5, false}, {4000, 4010, Unlimited, false}, {8000, 8010, Unlimited, false}, {8020, 8030, 3, false}}, 3},
		"low limit needs a long time":  {[]answer{{0, 10, 0, false}, {4000, 4010, Unlimited, false}, {8000, 8010, Unlimited, false}}, 0},
		"low limit after a long time":  {[]answer{{0, 10, 0, false}, {16000, 16010, Unlimited, false}, {32000, 32010, Unlimited, false}}, Unlimited},
		"fewer requests than a second": {[]answer{{0, 10, 0.25, false}}, 0.25},
	} {
		table, g := NewTable("a"), Target{VM: "t", Incarnation: 1}
		last := sardine.Millis(0)
		for _, a := range c.answers {
			table.Observe(a.at, a.sent, g, max(a.limit, 0), a.limit != Unlimited, !a.failed)
			last = a.at
		}
		limit := Unlimited
		for _, v := range table.View(last) {
			limit = v.Limit
		}
		assert.Equal(t, c.want, limit, name)
	}
}

// TestNodesWithoutShares checks that nodes that hear of a limit without the leader, or
// lose it, together stay within the limit.
func TestNodesWithoutShares(t *testing.T) {
	g := Target{VM: "t", Incarnation: 1}
	for _, limit := range []float64{0, 0.3, 2, 40} {
		var nodes []sardine.NodeID
		for i := range 9 {
			nodes = append(nodes, sardine.NodeID(fmt.Sprint(i)))
		}
		total := 0.0
		for i, node := range nodes {
			table := NewTable(node)
			table.SetNodes(0, nodes)
			table.Observe(0, 0, g, limit, true, true)
			require.Positive(t, table.Wait(0, g), "no request at once")
			if i%2 == 0 {
				table.Apply(10, 0, []Share{{Target: g, Limit: limit, Stated: true, Rate: limit}})
				require.InDelta(t, limit, table.View(20)[0].Rate, 1e-9)
				table.Observe(30, 20, g, limit/2, true, true)
				require.LessOrEqual(t, table.View(30)[0].Rate, usableRate(limit/2), "lowered before the leader knows")
			}
			total += table.View(ShareTerm)[0].Rate
		}
		require.LessOrEqual(t, total, usableRate(limit)*1.0001)
	}
}

// TestRemovedLimitIsReleasedSlowly guards against a burst of waiting requests at a
// target that has left out its limit in some answers only.
func TestRemovedLimitIsReleasedSlowly(t *testing.T) {
	table, g := NewTable("a"), Target{VM: "t", Incarnation: 1}
	table.Observe(0, 0, g, 1, true, true)
	table.Apply(9000, 9000, []Share{{Target: g, Age: 100}})
	require.Equal(t, []Change{{Target: g, Before: Unlimited, After: 1, Own: true}, {Target: g, Before: 1, After: Unlimited}}, table.Changes())
	sent := 0
	for now := sardine.Millis(9000); now < 9000+releaseTime; now++ {
		if table.Wait(now, g) == 0 {
			table.Take(now, g)
			sent++
		}
		if now == 13000 {
			require.LessOrEqual(t, sent, 24)
		}
	}
	require.Greater(t, sent, 300)
	require.Zero(t, table.Wait(9000+releaseTime, g))
	require.True(t, table.Empty())
	table.Observe(20000, 19000, g, 1, true, true)
	require.False(t, table.Empty())
	table.Retain(map[Target]sardine.ServiceName{{VM: "t", Incarnation: 2}: "s"})
	require.True(t, table.Empty(), "a new life")
	table.Apply(20001, 20000, []Share{{Target: g, Limit: 1, Stated: true}})
	require.True(t, table.Empty(), "news of an earlier life")
}
