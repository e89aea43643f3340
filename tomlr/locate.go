package tomlr

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// locator notes where each key of a document stands.
type locator struct {
	document *Document
	parser   *unstable.Parser
	arrays   map[string]int // elements seen of each array of tables
}

// locate fills the positions. The text is known to be valid.
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
			l.note(element, children.Node())
			l.value(element, children.Node())
		}
	}
}

// keys joins the parts of a key to prefix and notes the position of each. A part
// that names an array of tables means its newest element.
func (l locator) keys(prefix string, parts unstable.Iterator) string {
	path := prefix
	for parts.Next() {
		path = join(path, string(parts.Node().Data))
		l.note(path, parts.Node())
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
		l.note(element, parts.Node())
	}
	return element
}

// note keeps the first position of a path.
func (l locator) note(path string, node *unstable.Node) {
	if _, known := l.document.positions[path]; known || node.Raw.Length == 0 {
		return
	}
	start := l.parser.Shape(node.Raw).Start
	l.document.positions[path] = Position{Line: start.Line, Column: start.Column}
}
