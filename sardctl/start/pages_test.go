package start

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const docsFolder = "../../docs/operate"

// TestPagesNameRealCommands parses every sardctl line of the operators' pages and
// checks that every linked page exists.
func TestPagesNameRealCommands(t *testing.T) {
	paths, err := filepath.Glob(docsFolder + "/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	commands := 0
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "sardctl ") {
				checkExamples(t, []string{line})
				commands++
			}
		}
		for _, link := range regexp.MustCompile(`\]\(([^)]+\.md)\)`).FindAllStringSubmatch(string(text), -1) {
			require.FileExists(t, filepath.Join(docsFolder, link[1]), path)
		}
	}
	require.Greater(t, commands, 20)
}

// TestRemediesNameRealPages checks that every page named in the remedy of a result
// code or log event exists.
func TestRemediesNameRealPages(t *testing.T) {
	var remedies []string
	for _, r := range codes.Table() {
		remedies = append(remedies, r.Remedy)
	}
	for _, r := range event.Table() {
		remedies = append(remedies, r.Remedy)
	}
	page := regexp.MustCompile(`docs/operate/[a-z-]+\.md`)
	for _, remedy := range remedies {
		for _, name := range page.FindAllString(remedy, -1) {
			require.FileExists(t, filepath.Join("../..", name), remedy)
		}
	}
}
