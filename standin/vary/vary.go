// Package vary derives variants of a benchmark site file: with slower or faster
// engines, another load, other objectives and other announced shares. The variants
// show which constants of the product fit only one site.
package vary

import (
	"regexp"
	"strconv"
	"strings"
)

// Factors are the factors by which a site file's numbers are multiplied. With 1 a
// number stays.
type Factors struct {
	EngineTimes float64 // times of the engines' decode steps and prefill
	Load        float64 // requests
	StreamTimes float64 // objectives, pauses, deadlines and timeouts of streams
	FirstShare  float64 // announced share of the first model; the others divide the rest
}

// rule multiplies fields in the lines that match.
type rule struct {
	line   *regexp.Regexp
	fields []string
	factor func(Factors) float64
}

var rules = []rule{
	{
		line:   regexp.MustCompile(`llm = \{`),
		fields: []string{"step_ms", "step_ms_per_slot", "context_ms_per_k", "pairs_ms_per_m", "first_ms"},
		factor: func(f Factors) float64 { return f.EngineTimes },
	},
	{
		line:   regexp.MustCompile(`llm = \{`),
		fields: []string{"prefill_tokens_per_ms"},
		factor: func(f Factors) float64 { return 1 / f.EngineTimes },
	},
	{
		line:   regexp.MustCompile(`kind = "stream"`),
		fields: []string{"aim_ms", "deadline_ms", "timeout_ms", "gap_aim_ms"},
		factor: func(f Factors) float64 { return f.StreamTimes },
	},
	{
		line:   regexp.MustCompile(`\{ zone = .*mix = `),
		fields: []string{"per_s"},
		factor: func(f Factors) float64 { return f.Load },
	},
}

// ScaleSite returns the text of a site file with scaled numbers. Lines and fields that
// no rule matches stay unchanged. Errors have codes.UsageError.
func ScaleSite(text string, f Factors) (string, error) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		for _, r := range rules {
			if r.line.MatchString(line) {
				line = scaleFields(line, r.fields, r.factor(f))
			}
		}
		lines[i] = line
	}
	if err := scaleFirstShare(lines, f.FirstShare); err != nil {
		return "", err
	}
	return strings.Join(lines, "\n"), nil
}

// scaleFields multiplies the numbers of the named fields in a line.
func scaleFields(line string, fields []string, factor float64) string {
	for _, name := range fields {
		field := regexp.MustCompile(`(\b` + name + ` = )([0-9.]+)`)
		line = field.ReplaceAllStringFunc(line, func(found string) string {
			parts := field.FindStringSubmatch(found)
			value, err := strconv.ParseFloat(parts[2], 64)
			if err != nil {
				return found // not a number
			}
			return parts[1] + strconv.FormatFloat(value*factor, 'f', -1, 64)
		})
	}
	return line
}
