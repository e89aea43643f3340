package team

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"sardineswitch.dev/sardine/codes"
)

// MaxDocumentBytes is the maximum size of a document in bytes.
const MaxDocumentBytes = 256 << 10

// position is the position of a key in the document.
type position struct {
	line   int
	column int
}

// tree is a parsed document and the positions of its keys.
type tree struct {
	root      Path
	values    map[string]any
	positions map[string]position // by the keys joined with a zero byte
}

// parseTree parses the document of root's team. Parsing stops at the first
// syntax error.
func parseTree(root Path, document string) (tree, error) {
	t := tree{root: root, values: make(map[string]any), positions: make(map[string]position)}
	if len(document) > MaxDocumentBytes {
		return t, codes.New(codes.TooLarge, "the document has %d bytes, at most %d are accepted", len(document), MaxDocumentBytes)
	}
	if err := toml.Unmarshal([]byte(document), &t.values); err != nil {
		return t, syntaxProblem(root, err).asError()
	}
	t.locate([]byte(document))
	return t, nil
}

func syntaxProblem(root Path, err error) Problems {
	problem := Problem{Line: 1, Column: 1, Path: root.String(), Found: "a syntax error: " + err.Error(), Expected: "TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		problem.Line, problem.Column = decode.Position()
		problem.Path = root.child(decode.Key()).String()
		problem.Found = strings.TrimPrefix(decode.Error(), "toml: ")
	}
	return Problems{problem}
}

func (p Path) child(keys []string) Path {
	for _, key := range keys {
		p = p.Child(key)
	}
	return p
}

// locate records the position of each key. The document must be valid.
func (t *tree) locate(document []byte) {
	var p unstable.Parser
	p.Reset(document)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = t.locateKey(document, nil, e.Key())
		case unstable.KeyValue:
			t.locateValue(document, table, e)
		}
	}
}

func (t *tree) locateValue(document []byte, table []string, e *unstable.Node) {
	keys := t.locateKey(document, table, e.Key())
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	for it := e.Value().Children(); it.Next(); {
		t.locateValue(document, keys, it.Node())
	}
}

func (t *tree) locateKey(document []byte, table []string, it unstable.Iterator) []string {
	keys := append([]string(nil), table...)
	for it.Next() {
		n := it.Node()
		keys = append(keys, string(n.Data))
		name := strings.Join(keys, "\x00")
		if _, known := t.positions[name]; !known {
			t.positions[name] = positionOf(document, int(n.Raw.Offset))
		}
	}
	return keys
}

func positionOf(document []byte, offset int) position {
	before := document[:min(offset, len(document))]
	return position{
		line:   bytes.Count(before, []byte("\n")) + 1,
		column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}

// at returns the position of a key, or of its nearest ancestor with a position.
func (t *tree) at(keys []string) position {
	for n := len(keys); n > 0; n-- {
		if found, ok := t.positions[strings.Join(keys[:n], "\x00")]; ok {
			return found
		}
	}
	return position{line: 1, column: 1}
}
