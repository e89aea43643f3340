package vary

import (
	"regexp"
	"strconv"

	"sardineswitch.dev/sardine/codes"
)

// modelLine matches a model of the site, which is on a line of its own, with its
// announced share.
var modelLine = regexp.MustCompile(`^\s*\{ name = "[^"]*", size = .*\bshare = ([0-9.]+)`)

// shareField matches a model's announced share of the work.
var shareField = regexp.MustCompile(`\bshare = [0-9.]+`)

// scaleFirstShare multiplies the share of the work that is announced for the first
// model. The other shares are scaled so that the sum stays the same. The requests
// do not change. Errors have codes.UsageError.
func scaleFirstShare(lines []string, factor float64) error {
	if factor == 1 {
		return nil
	}
	var lineIndexes []int
	var shares []float64
	sum := 0.0
	for i, line := range lines {
		found := modelLine.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		share, err := strconv.ParseFloat(found[1], 64)
		if err != nil {
			continue // not a number
		}
		lineIndexes = append(lineIndexes, i)
		shares = append(shares, share)
		sum += share
	}
	if len(shares) < 2 {
		return codes.New(codes.UsageError, "found %d models with a share on lines of their own, expected at least two", len(shares))
	}
	if shares[0]*factor >= sum {
		return codes.New(codes.UsageError, "%g times the share %g of the first model leaves nothing of %g for the others", factor, shares[0], sum)
	}
	first := shares[0] * factor
	others := (sum - first) / (sum - shares[0])
	for k, i := range lineIndexes {
		share := first
		if k > 0 {
			share = shares[k] * others
		}
		lines[i] = shareField.ReplaceAllString(lines[i], "share = "+strconv.FormatFloat(share, 'g', 6, 64))
	}
	return nil
}
