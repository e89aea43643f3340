package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// originMark begins the line of an output file that tells where it is from.
const originMark = "# "

// Origin tells how a result was made. It is empty if the file does not say.
type Origin struct {
	File    string `json:"-"`
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Date    string `json:"date"`
}

// Load reads one file that holds the output of a measure. The result is the last
// line; a first line of "# " and JSON gives the origin.
func Load(path string) (Section, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Section{}, codes.Wrap(codes.BadRequest, err, "reading a result")
	}
	s, err := Parse(text)
	if err != nil {
		return Section{}, codes.Wrap(codes.BadRequest, err, path)
	}
	s.Origin.File = path
	return s, nil
}

// LoadAll reads several files. A folder stands for its files NAME.json.
func LoadAll(paths []string) ([]Section, error) {
	files, err := expand(paths)
	if err != nil {
		return nil, err
	}
	sections := make([]Section, 0, len(files))
	for _, p := range files {
		s, err := Load(p)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	return sections, nil
}

func expand(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, codes.Wrap(codes.BadRequest, err, "reading a result")
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		inside, err := filepath.Glob(filepath.Join(p, "*.json"))
		if err != nil {
			return nil, codes.Wrap(codes.BadRequest, err, "reading a folder of results")
		}
		if len(inside) == 0 {
			return nil, codes.New(codes.BadRequest, "found no file NAME.json in the folder %s", p)
		}
		files = append(files, inside...)
	}
	return files, nil
}

// Parse returns the section of a measure's output.
func Parse(text []byte) (Section, error) {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := []byte(lines[len(lines)-1])
	if len(last) == 0 {
		return Section{}, codes.New(codes.BadRequest, "found an empty file, expected the output of standin measure")
	}
	if !json.Valid(last) {
		return Section{}, codes.New(codes.BadRequest, "line %d is not JSON, expected the last line of standin measure", len(lines))
	}
	build, err := kindOf(last)
	if err != nil {
		return Section{}, err
	}
	s, err := build(last)
	if err != nil {
		return Section{}, err
	}
	if rest, found := strings.CutPrefix(lines[0], originMark); found {
		if err := json.Unmarshal([]byte(rest), &s.Origin); err != nil {
			return Section{}, codes.Wrap(codes.BadRequest, err, "line 1, the origin")
		}
	}
	return s, nil
}

// decode reads a result and refuses names that its type does not have, so that a
// result of another version is not shown in part.
func decode[T any](line []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, codes.Wrap(codes.BadRequest, err, "a result of another version of standin")
	}
	return v, nil
}
