package serve

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
)

// Guards against an engine's answer that ends with its connection and is refused, or
// taken for whole although it broke off.
func TestUndelimitedAnswerIsCheckedByItsContent(t *testing.T) {
	const whole = `{"id":"r1","choices":[{"finish_reason":"stop"}]}`
	for length := range len(whole) + 1 {
		text := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + whole[:length]
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		require.NoError(t, err)
		require.False(t, Delimited(resp))
		body, err := ReadWhole(resp, 1<<10)
		require.NoError(t, err)
		err = CheckWhole(body, "r1")
		if length == len(whole) {
			require.NoError(t, err)
			continue
		}
		require.Equal(t, codes.AnswerInvalid, codes.Of(err), "%q", body)
	}
}
