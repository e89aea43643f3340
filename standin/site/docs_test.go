package site

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// curl is a curl command of the callers' documentation.
type curl struct {
	url    string
	header http.Header
	body   string
}

// readCurls returns the curl commands in the code blocks of a page.
func readCurls(t *testing.T, path string) []curl {
	t.Helper()
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	var commands []curl
	for i, block := range strings.Split(string(page), "```") {
		if i%2 == 1 && strings.HasPrefix(strings.TrimSpace(block), "curl ") {
			commands = append(commands, parseCurl(t, splitWords(block)))
		}
	}
	return commands
}

// splitWords splits a command as a shell does, with support for single quotes
// and for lines continued by a backslash.
func splitWords(command string) []string {
	var words []string
	for i, part := range strings.Split(strings.ReplaceAll(command, "\\\n", " "), "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}

func parseCurl(t *testing.T, words []string) curl {
	t.Helper()
	c := curl{header: make(http.Header)}
	for i := 1; i < len(words); i++ {
		switch word := words[i]; word {
		case "-N":
		case "-H":
			i++
			name, value, found := strings.Cut(words[i], ": ")
			require.True(t, found, words[i])
			c.header.Add(name, value)
		case "-d":
			i++
			c.body = words[i]
		default:
			c.url = word
		}
	}
	return c
}

// TestCallersPageCommands runs the curl commands of docs/CALLERS.md unchanged,
// except for the site's address, and expects each of them to succeed.
func TestCallersPageCommands(t *testing.T) {
	s := startSite(t, 1, 1, WithEngines(1, 1), WithPlainServices(1))
	commands := readCurls(t, "../../docs/CALLERS.md")
	require.Len(t, commands, 2)
	for _, c := range commands {
		url := strings.ReplaceAll(c.url, "$SITE", s.Balancer())
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(c.body))
		require.NoError(t, err)
		req.Header = c.header
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
		if strings.Contains(c.body, `"stream":true`) {
			require.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), string(body))
		}
	}
}
