package quota

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// maxLimit is the rate, in requests per second, from which a stated limit
// counts as none.
const maxLimit = 1e6

// ParseLimit returns the limit that the values of an answer's header state. Of
// several values the lowest valid one counts. A limit of maxLimit or more is
// none. Without a valid value it returns an error if there are invalid ones,
// and the answer then neither states nor removes a limit.
func ParseLimit(values []string) (rate float64, stated bool, err error) {
	lowest, valid := math.Inf(1), false
	for _, line := range values {
		for value := range strings.SplitSeq(line, ",") {
			v, parseErr := parseRate(strings.TrimSpace(value))
			if parseErr != nil {
				err = parseErr
				continue
			}
			lowest, valid = min(lowest, v), true
		}
	}
	if !valid {
		return 0, false, err
	}
	if lowest >= maxLimit {
		return 0, false, nil
	}
	return lowest, true, nil
}

func parseRate(value string) (float64, error) {
	if strings.ContainsAny(value, "xX_") { // Go's notations
		return 0, errors.New("limit " + strconv.Quote(value) + " is not a decimal number")
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, errors.New("limit " + strconv.Quote(value) + " is not a number")
	}
	if math.IsNaN(v) || v < 0 {
		return 0, errors.New("limit " + strconv.Quote(value) + " is not a rate")
	}
	return math.Abs(v), nil
}
