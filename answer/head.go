package answer

import "bytes"

// fields are the fields of a head that give the body's length.
type fields struct {
	length  bool // Content-Length
	chunked bool // Transfer-Encoding
}

// add records the field of a line.
func (f *fields) add(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	f.length = f.length || bytes.EqualFold(name, []byte("Content-Length"))
	f.chunked = f.chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
}

// isBlank reports whether a line is the empty one at the end of a head.
func isBlank(line []byte) bool {
	return line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}
