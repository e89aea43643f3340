package tomlr

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// locator records the position of each key of a document.
type locator struct {
	document *Document
	parser   *unstable.Parser
	arrays   map[string]int // number of elements so far, by path of the array of tables
}

// locate records the positions of all keys. The text must be valid TOML.
func (d *Document) locate(text []byte) {
	l := locator{document: d, parser: &unstable.Parser{}, arrays: map[string]int{}}
	l.parser.Reset(text)
	prefix := ""
	for l.parser.NextExpression() {
		node := l.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = l.keys("", node.Key())
		case unstable.ArrayTable:
			prefix = l.element(l.keys("", node.Key()), node)
		case unstable.KeyValue:
			l.keyValue(prefix, node)
		}
	}
}

func (l locator) keyValue(prefix string, node *unstable.Node) {
	path := l.keys(prefix, node.Key())
	l.value(path, node.Value())
}

func (l locator) value(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			l.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			l.record(element, children.Node())
			l.value(element, children.Node())
		}
	}
}

// keys joins the parts of a key to prefix and records the position of each. A
// part that names an array of tables refers to its last element so far.
func (l locator) keys(prefix string, parts unstable.Iterator) string {
	path := prefix
	for parts.Next() {
		path = join(path, string(parts.Node().Data))
		l.record(path, parts.Node())
		if n := l.arrays[path]; n > 0 && !parts.IsLast() {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func (l locator) element(path string, node *unstable.Node) string {
	l.arrays[path]++
	element := fmt.Sprintf("%s[%d]", path, l.arrays[path]-1)
	parts := node.Key()
	for parts.Next() {
		l.record(element, parts.Node())
	}
	return element
}

// record records the position of a path unless it already has one.
func (l locator) record(path string, node *unstable.Node) {
	if _, known := l.document.positions[path]; known || node.Raw.Length == 0 {
		return
	}
	start := l.parser.Shape(node.Raw).Start
	l.document.positions[path] = Position{Line: start.Line, Column: start.Column}
}
