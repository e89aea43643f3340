package start

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/launch"
)

func TestEveryCommandShowsAnExample(t *testing.T) {
	require.Empty(t, launch.CommandsWithoutExample(program().Root()))
}
