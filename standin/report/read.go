package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"sardineswitch.dev/sardine/codes"
)

// originPrefix begins the first line of an output file that has an origin.
const originPrefix = "# "

// Origin describes how a result was produced. All fields but File are empty if
// the file has no origin line.
type Origin struct {
	File    string `json:"-"`
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Date    string `json:"date"`
}

// Load reads a file with the output of a measure. The last line is the result; a
// first line of "# " and JSON is the origin.
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

// LoadAll reads several files. A folder stands for all its files NAME.json.
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

// expand replaces folders by their files NAME.json.
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

// Parse builds the section of a measure's output, which Load describes.
func Parse(text []byte) (Section, error) {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := []byte(lines[len(lines)-1])
	if len(last) == 0 {
		return Section{}, codes.New(codes.BadRequest, "found an empty file, expected the output of standin measure")
	}
	if !json.Valid(last) {
		return Section{}, codes.New(codes.BadRequest, "line %d is not JSON, expected the last line of standin measure", len(lines))
	}
	build, err := builderFor(last)
	if err != nil {
		return Section{}, err
	}
	s, err := build(last)
	if err != nil {
		return Section{}, err
	}
	if rest, found := strings.CutPrefix(lines[0], originPrefix); found {
		if err := json.Unmarshal([]byte(rest), &s.Origin); err != nil {
			return Section{}, codes.Wrap(codes.BadRequest, err, "line 1, the origin")
		}
	}
	return s, nil
}

// decode reads a result and rejects fields that its type does not have, so that
// a result of another version is not shown in part.
func decode[T any](line []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, codes.Wrap(codes.BadRequest, err, "decoding a result, possibly of another version of standin")
	}
	return v, nil
}
