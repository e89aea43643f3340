package site

import (
	"context"
	"fmt"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/wire"
)

// Names of the demo team's settings.
const (
	Team      = sardine.Team("adinkra")
	Workspace = sardine.Workspace("stage-left")
)

// Document returns the demo team's settings document, for a number of groups of
// size VMs each.
func Document(groups, size int) string {
	return fmt.Sprintf(`cut_policy = "refuse_requests"

[objective]
downtime_weight = 10.0
stranded_weight = 1.0

[deployments.surtitles]
kind = "engine"
model = %q
model_version = "1"
group_size = %d
groups = %d

[deployments.box-office]
kind = "plain"

[workspaces.stage-left]
weight = 1.0
services = ["surtitles", "box-office"]
`, string(Model), size, groups)
}

// Set stores a settings document at path on top of version base, with the
// operator's token if the site has keys. It returns the control leader's reply,
// once no entry node serves older settings.
func (s *Site) Set(ctx context.Context, base uint64, changeID, path, document string) (*wire.SettingsReply, error) {
	return s.client.Settings(ctx, &wire.SettingsRequest{
		Operation: "set",
		Path:      path,
		Base:      base,
		ChangeId:  changeID,
		Document:  document,
		Author:    "demo",
		Token:     s.keys.Token(),
	})
}

// LeaderIndex returns the index of the control node that leads, or -1 if none does.
func (s *Site) LeaderIndex() int {
	for i, c := range s.controls {
		if c.node != nil && c.node.Dump().Leading {
			return i
		}
	}
	return -1
}

// Groups returns the groups in the leader's state, or nil without a leader.
func (s *Site) Groups() []ctrl.GroupDump {
	if i := s.LeaderIndex(); i >= 0 {
		return s.controls[i].node.Dump().Groups
	}
	return nil
}

// Serving returns the groups in the state serving.
func (s *Site) Serving() []ctrl.GroupDump {
	var serving []ctrl.GroupDump
	for _, g := range s.Groups() {
		if g.State == sardine.GroupServing.String() {
			serving = append(serving, g)
		}
	}
	return serving
}

// awaitInterval is the polling interval of Await.
const awaitInterval = 5 * time.Millisecond

// Await polls until condition returns true and returns how long that took. It
// fails after limit; what names the condition in the error.
func Await(limit time.Duration, what string, condition func() bool) (time.Duration, error) {
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			return 0, codes.New(codes.Internal, "%s: condition not met within %s", what, limit)
		}
		time.Sleep(awaitInterval)
	}
	return time.Since(started), nil
}

// AwaitServing waits until every running entry node is ready and has at least
// groups+plains candidate targets.
func (s *Site) AwaitServing(limit time.Duration, groups, plains int) (time.Duration, error) {
	return Await(limit, fmt.Sprintf("%d groups and %d plain targets on every entry node", groups, plains), func() bool {
		for _, e := range s.entries {
			if e.node == nil {
				continue
			}
			d := e.node.Dump()
			if !d.Ready || len(d.Candidates) < groups+plains {
				return false
			}
		}
		return true
	})
}

// EngineIndex returns the index of the engine with this VM name, or -1 if there is
// none.
func (s *Site) EngineIndex(vm string) int {
	for i, e := range s.engines {
		if string(e.VM()) == vm {
			return i
		}
	}
	return -1
}
