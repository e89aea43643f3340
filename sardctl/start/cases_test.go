package start

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/sardctl/cases"
	"sardineswitch.dev/sardine/sardctl/verbs"
)

// rewrite replaces the expected output of the cases by the actual one:
// go test ./sardctl/start -args -rewrite
var rewrite = flag.Bool("rewrite", false, "rewrite the expected output of the cases")

// testToken is the token that every command sends and none may print.
const testToken = "sard-planted-token-4f1d"

// TestCases replays every folder of ../cases against a new fake site. A line
// "fake X" simulates event X at the site; every other line is a command.
func TestCases(t *testing.T) {
	names, err := cases.Names()
	require.NoError(t, err)
	if *rewrite {
		names = foldersOnDisk(t)
	}
	require.NotEmpty(t, names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := filepath.Join("..", "cases", name)
			lines, err := os.ReadFile(filepath.Join(folder, "cmd"))
			require.NoError(t, err)
			input, _ := os.ReadFile(filepath.Join(folder, "in")) // most have none
			f := newFake()
			defer f.server.Close()
			out, errs := f.script(string(lines), t.TempDir(), string(input))
			require.NotContains(t, out+errs, testToken)
			if *rewrite {
				require.NoError(t, os.WriteFile(filepath.Join(folder, "out"), []byte(out), 0o644))
				require.NoError(t, os.WriteFile(filepath.Join(folder, "err"), []byte(errs), 0o644))
				return
			}
			wantOut, err := cases.Read(name, "out")
			require.NoError(t, err)
			wantErr, err := cases.Read(name, "err")
			require.NoError(t, err)
			require.Equal(t, wantOut, out)
			require.Equal(t, wantErr, errs)
		})
	}
}

func foldersOnDisk(t *testing.T) []string {
	paths, err := filepath.Glob("../cases/*/cmd")
	require.NoError(t, err)
	var names []string
	for _, p := range paths {
		names = append(names, filepath.Base(filepath.Dir(p)))
	}
	return names
}

// replay runs the lines and appends their output, normalized, to out and errs.
func replay(f *fake, lines, folder, in string, out, errs *bytes.Buffer) {
	environment := map[string]string{verbs.EnvControls: f.address(), verbs.EnvToken: testToken}
	for line := range strings.Lines(lines) {
		line = strings.TrimSpace(line)
		if line == "fake no token" {
			delete(environment, verbs.EnvToken)
		}
		if event, isEvent := strings.CutPrefix(line, "fake "); isEvent {
			f.simulate(event)
			continue
		}
		if line == "" {
			continue
		}
		fmt.Fprintf(out, "$ %s\n", line)
		var o, e bytes.Buffer
		words := splitWords(strings.ReplaceAll(line, "$DIR", folder))
		exit := Run(words[1:], strings.NewReader(in), &o, &e, func(name string) string { return environment[name] })
		out.WriteString(normalize(f, folder, o.String()))
		errs.WriteString(normalize(f, folder, e.String()))
		if exit != 0 {
			fmt.Fprintf(out, "exit %d\n", exit)
		}
	}
}

// normalize replaces what differs between runs, such as ids and addresses, by fixed
// text.
func normalize(f *fake, folder, text string) string {
	text = strings.ReplaceAll(text, f.address(), "10.1.1.5:7071")
	text = strings.ReplaceAll(text, folder, "$DIR")
	text = regexp.MustCompile(`sard_[A-Za-z0-9_-]{43}`).ReplaceAllString(text, "sard_...")
	text = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`).ReplaceAllString(text, "CHANGE-ID")
	text = regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(text, "ADDRESS")
	text = regexp.MustCompile(`"[0-9a-f]{64}"`).ReplaceAllString(text, `"HASH"`)
	text = regexp.MustCompile(`until \d{4}-\S+ \S+`).ReplaceAllString(text, "until TIME")
	return regexp.MustCompile(`go1\.\S+`).ReplaceAllString(text, "go1")
}

// splitWords splits a line into words as a shell does for single quotes.
func splitWords(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words[len(words)-1] += part
			continue
		}
		fields := strings.Fields(part)
		if i > 0 && len(fields) > 0 && !strings.HasPrefix(part, " ") {
			words[len(words)-1] += fields[0]
			fields = fields[1:]
		}
		words = append(words, fields...)
		if strings.HasSuffix(part, " ") {
			words = append(words, "")
		}
	}
	return words
}

// TestEveryCommandHasHelp checks that each command has help texts, an example and
// a section, and that each example parses.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, v := range verbs.Table() {
		require.NotEmpty(t, v.Short, v.Use)
		require.NotEmpty(t, v.Long, v.Use)
		require.NotEmpty(t, v.Examples, v.Use)
		require.Contains(t, verbs.Sections(), v.Section, v.Use)
		var out, errs bytes.Buffer
		require.Zero(t, Run([]string{v.Name(), "--help"}, strings.NewReader(""), &out, &errs, func(string) string { return "" }))
		require.Contains(t, out.String(), v.Examples[0])
		checkExamples(t, v.Examples)
		for _, sub := range v.Subs {
			require.NotEmpty(t, sub.Short, sub.Use)
			checkExamples(t, sub.Examples)
		}
	}
}

// checkExamples finds the command of each example and parses its flags, without
// running it.
func checkExamples(t *testing.T, examples []string) {
	for _, line := range examples {
		line, _, _ = strings.Cut(line, " |")
		words := splitWords(line)
		require.Equal(t, "sardctl", words[0])
		root := newRoot(verbs.NewSession(nil, nil, nil, nil))
		c, rest, err := root.Find(words[1:])
		require.NoError(t, err, line)
		require.NoError(t, c.ParseFlags(rest), line)
		require.NoError(t, c.ValidateArgs(c.Flags().Args()), line)
	}
}

// TestUnresponsiveNodeHidesNoOther lists a control node that accepts connections
// and never replies before the leader: commands must still reach the leader within
// their timeout.
func TestUnresponsiveNodeHidesNoOther(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	f := newFake()
	defer f.server.Close()
	token := func(name string) string { return map[string]string{verbs.EnvToken: testToken}[name] }
	for _, line := range []string{"status", "leave vm-3 --yes", "get /teams/adinkra"} {
		var out, errs bytes.Buffer
		args := append(strings.Fields(line), "--timeout", "2s", "--controls", silent.Addr().String()+","+f.address())
		exit := Run(args, strings.NewReader(""), &out, &errs, token)
		require.Zero(t, exit, "%s: %s", line, errs.String())
	}
}
