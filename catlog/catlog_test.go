package catlog

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const root = ".."

const reservedPath = "testdata/reserved.txt"

// dropUsed removes the reservations of constants that are now used in code:
// go test ./catlog -args -drop-used
var dropUsed = flag.Bool("drop-used", false, "remove used constants from "+reservedPath)

// constants returns the names of the constants that a table file declares.
func constants(t *testing.T, path string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	var names []string
	for _, d := range file.Decls {
		g, isGroup := d.(*ast.GenDecl)
		if !isGroup || g.Tok != token.CONST {
			continue
		}
		for _, s := range g.Specs {
			names = append(names, s.(*ast.ValueSpec).Names[0].Name)
		}
	}
	return names
}

// uses returns every package.Name selector in the project's code without tests,
// and every identifier of the tables' own packages as package.Name.
func uses(t *testing.T) map[string]bool {
	used := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		own := filepath.Base(filepath.Dir(path)) // a table's own package uses its constants unqualified
		ast.Inspect(file, func(n ast.Node) bool {
			if x, isName := n.(*ast.Ident); isName && filepath.Base(path) != "table.go" {
				used[own+"."+x.Name] = true
			}
			if s, isSelector := n.(*ast.SelectorExpr); isSelector {
				if x, isName := s.X.(*ast.Ident); isName {
					used[x.Name+"."+s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return used
}

// reserved returns the constants that testdata/reserved.txt lists.
func reserved(t *testing.T) []string {
	text, err := os.ReadFile(reservedPath)
	require.NoError(t, err)
	var names []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, reason, _ := strings.Cut(strings.TrimSpace(line), " ")
		require.NotEmpty(t, reason, "%s has no reason", name)
		names = append(names, name)
	}
	return names
}

// removeUsed removes the used constants from testdata/reserved.txt.
func removeUsed(t *testing.T, used map[string]bool) {
	text, err := os.ReadFile(reservedPath)
	require.NoError(t, err)
	var kept strings.Builder
	for line := range strings.Lines(string(text)) {
		if name, _, _ := strings.Cut(line, " "); !used[name] {
			kept.WriteString(line)
		}
	}
	require.NoError(t, os.WriteFile(reservedPath, []byte(kept.String()), 0o644))
}

// TestEveryConstantIsUsedOrReserved fails for a constant that is neither used in
// code nor reserved, and for a reservation of one that is used.
func TestEveryConstantIsUsedOrReserved(t *testing.T) {
	used := uses(t)
	if *dropUsed {
		removeUsed(t, used)
	}
	kept := reserved(t)
	var all []string
	for table, path := range map[string]string{"codes": "../codes/table.go", "event": "../event/table.go"} {
		for _, name := range constants(t, path) {
			all = append(all, table+"."+name)
		}
	}
	for _, name := range all {
		require.NotEqual(t, used[name], slices.Contains(kept, name), "%s: must be either used in code or listed in testdata/reserved.txt", name)
	}
	for _, name := range kept {
		require.Contains(t, all, name, "testdata/reserved.txt lists a name that is no constant")
	}
}

// TestEveryConstantHasARow checks that there are as many rows as constants, that
// numbers and names are unique and that no row lacks a text.
func TestEveryConstantHasARow(t *testing.T) {
	require.Len(t, codes.Table(), len(constants(t, "../codes/table.go")))
	require.Len(t, event.Table(), len(constants(t, "../event/table.go")))
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, r := range codes.Table() {
		require.False(t, numbers[int(r.Code)] || names[r.Name], r.Name)
		numbers[int(r.Code)], names[r.Name] = true, true
		require.NotEmpty(t, r.Meaning)
		require.NotEmpty(t, r.Remedy)
	}
	numbers, names = map[int]bool{}, map[string]bool{}
	for _, r := range event.Table() {
		require.False(t, numbers[int(r.ID)] || names[r.Name], r.Name)
		numbers[int(r.ID)], names[r.Name] = true, true
		require.NotEmpty(t, r.Meaning)
		require.NotEmpty(t, r.Remedy)
	}
}

func TestPagesNameEveryRow(t *testing.T) {
	for _, r := range codes.Table() {
		require.Contains(t, Codes(), "`"+r.Name+"`")
	}
	for _, r := range event.Table() {
		require.Contains(t, Events(), "`"+r.Name+"`")
	}
}
