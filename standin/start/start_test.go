package start

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExamplesParse checks that each command has an example with valid flags and
// arguments.
func TestExamplesParse(t *testing.T) {
	for _, c := range program().Root().Commands() {
		if c.Name() == "measure" || c.Name() == "help" || c.Name() == "completion" {
			continue
		}
		require.NotEmpty(t, c.Example, c.Name())
		for line := range strings.Lines(c.Example) {
			words := strings.Fields(line)
			found, rest, err := program().Root().Find(words[1:])
			require.NoError(t, err, line)
			require.NoError(t, found.ParseFlags(rest), line)
			require.NoError(t, found.ValidateArgs(found.Flags().Args()), line)
		}
	}
}

func TestUnknownFlagIsAnError(t *testing.T) {
	var out, errs bytes.Buffer
	require.Equal(t, 1, Main([]string{"load", "--colour"}, &out, &errs))
	require.Contains(t, errs.String(), "standin: unknown flag")
}
