package fake

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// site returns engines in domains, and a team with a deployment of high and one
// of low value.
func site(domains, each int, checks func(i int) bool) ([]*Engine, []sardine.TeamSettings) {
	var engines []*Engine
	for d := range domains {
		for i := range each {
			engines = append(engines, &Engine{
				VM:           sardine.VMID(fmt.Sprintf("vm-%d-%02d", d, i)),
				Domain:       sardine.FabricDomain(fmt.Sprintf("domain-%d", d)),
				Accelerators: 4,
				Loadable:     []sardine.ModelName{"cue", "draft"},
				ChecksEpoch:  checks(i),
			})
		}
	}
	team := sardine.TeamSettings{
		Team:      "adinkra",
		Objective: sardine.Objective{DowntimeWeight: 100, StrandedWeight: 1},
		Deployments: []sardine.Deployment{
			{Name: "surtitles", Kind: sardine.KindEngine, Model: "cue", ModelVersion: "1", GroupSize: 4, Groups: domains, Floor: 1, Spares: 1, Value: 4},
			{Name: "drafts", Kind: sardine.KindEngine, Model: "draft", ModelVersion: "1", GroupSize: 2, Groups: domains, Value: 1},
		},
	}
	return engines, []sardine.TeamSettings{team}
}

// halfCheckEpochs selects every second engine.
func halfCheckEpochs(i int) bool { return i%2 == 0 }

func TestGroupsForm(t *testing.T) {
	engines, teams := site(3, 7, halfCheckEpochs)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(6*sardine.Second))
	require.NoError(t, w.Run(200*sardine.Second))
	serving := 0
	for _, g := range w.Machine().Groups() {
		if g.State == sardine.GroupServing {
			serving++
		}
	}
	for _, g := range w.Machine().Groups() {
		t.Log(w.Planner().Explain(g.ID))
	}
	require.Equal(t, 6, serving)
	t.Log(w.Usage(), w.Rounds())
}

func TestSpareReplacesMember(t *testing.T) {
	engines, teams := site(3, 7, halfCheckEpochs)
	w := NewWorld(1, engines, teams, WithHomes(3), WithBound(6*sardine.Second))
	require.NoError(t, w.Run(200*sardine.Second))
	g := w.Machine().Groups()[3]
	require.Equal(t, sardine.ServiceName("surtitles"), g.Service)
	w.Crash(w.byVM[g.Members[1].VM])
	before := w.Usage()
	require.NoError(t, w.Run(240*sardine.Second))
	t.Log(w.Usage().Minus(before), w.LongestBroken())
	g2, _ := w.Machine().Group(g.ID)
	t.Log(g2, w.Planner().Explain(g.ID))
	require.Equal(t, sardine.GroupServing, g2.State)
}
