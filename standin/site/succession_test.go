package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/standin/engine"
)

// TestNewLeaderLetsChatsOfDrainedGroupsEnd guards against a new control leader that cuts
// off the chats of a group that the earlier leader was draining.
func TestNewLeaderLetsChatsOfDrainedGroupsEnd(t *testing.T) {
	const tokens = 500 // 10 ms each
	const deployment = "/teams/" + string(Team) + "/deployments/surtitles"
	for _, tc := range []struct {
		name, path, value string
		stopAfter         time.Duration // the change is in force
	}{
		{"no groups wanted", deployment + "/groups", "0", 300 * time.Millisecond},
		{"no groups wanted, late", deployment + "/groups", "0", 2500 * time.Millisecond},
		{"another size", deployment + "/group_size", "1", 300 * time.Millisecond},
		{"another version", deployment + "/model_version", `"2"`, 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, 1, 2, WithNodes(3, 1), WithEngines(1, 2), WithPlainServices(0), WithEngineOptions(engine.WithSpeed(5, 10)))
			body := chatBody("the curtain falls", tokens, false)
			ended := make(chan chat, 1)
			go func() { ended <- sendChat(t, s.Entries()[0].Node().PublicAddress(), body) }()
			time.Sleep(500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			_, err := s.Set(ctx, 1, "second", tc.path, tc.value)
			require.NoError(t, err)
			time.Sleep(tc.stopAfter)
			require.NoError(t, s.StopControl(s.LeaderIndex()))
			c := <-ended
			require.NoError(t, c.err, fmt.Sprint(c.problem))
			require.True(t, c.done, "%+v", c.problem)
			require.Equal(t, expectedAnswer(t, body), c.text)
		})
	}
}
