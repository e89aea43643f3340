// Package vary makes other sites of a site file: with slower or faster engines,
// another load, other objectives and other announced shares. It shows which constants of the product hold
// figures of one site.
package vary

import (
	"regexp"
	"strconv"
	"strings"
)

// Factors are by how much a site is to differ, each 1 for no difference.
type Factors struct {
	Engines float64 // times of the engines' steps and reading
	Load    float64 // requests
	Times   float64 // objectives, pauses, deadlines and timeouts of streams
	Shares  float64 // announced share of the first model; the others share the rest
}

// rule multiplies the fields of the lines that it is for.
type rule struct {
	line   *regexp.Regexp
	fields []string
	factor func(Factors) float64
}

var rules = []rule{
	{
		line:   regexp.MustCompile(`llm = \{`),
		fields: []string{"step_ms", "step_ms_per_slot", "context_ms_per_k", "pairs_ms_per_m", "first_ms"},
		factor: func(f Factors) float64 { return f.Engines },
	},
	{
		line:   regexp.MustCompile(`llm = \{`),
		fields: []string{"prefill_tokens_per_ms"},
		factor: func(f Factors) float64 { return 1 / f.Engines },
	},
	{
		line:   regexp.MustCompile(`kind = "stream"`),
		fields: []string{"aim_ms", "deadline_ms", "timeout_ms", "gap_aim_ms"},
		factor: func(f Factors) float64 { return f.Times },
	},
	{
		line:   regexp.MustCompile(`\{ zone = .*mix = `),
		fields: []string{"per_s"},
		factor: func(f Factors) float64 { return f.Load },
	},
}

// Site returns the text of a site file with its figures changed. What it does not
// know stays as it is. An error carries codes.UsageError.
func Site(text string, f Factors) (string, error) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		for _, r := range rules {
			if r.line.MatchString(line) {
				line = multiply(line, r.fields, r.factor(f))
			}
		}
		lines[i] = line
	}
	if err := announce(lines, f.Shares); err != nil {
		return "", err
	}
	return strings.Join(lines, "\n"), nil
}

// multiply changes the numbers of the named fields in a line.
func multiply(line string, fields []string, factor float64) string {
	for _, name := range fields {
		field := regexp.MustCompile(`(\b` + name + ` = )([0-9.]+)`)
		line = field.ReplaceAllStringFunc(line, func(found string) string {
			parts := field.FindStringSubmatch(found)
			value, err := strconv.ParseFloat(parts[2], 64)
			if err != nil {
				return found // no number
			}
			return parts[1] + strconv.FormatFloat(value*factor, 'f', -1, 64)
		})
	}
	return line
}
