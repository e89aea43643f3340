package vary

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSite prints scaled parts of site files.
func TestSite(t *testing.T) {
	datadriven.RunTest(t, "testdata/sites", func(t *testing.T, d *datadriven.TestData) string {
		f := Factors{EngineTimes: 1, Load: 1, StreamTimes: 1, FirstShare: 1}
		for name, factor := range map[string]*float64{"engines": &f.EngineTimes, "load": &f.Load, "times": &f.StreamTimes, "shares": &f.FirstShare} {
			if d.HasArg(name) {
				d.ScanArgs(t, name, factor)
			}
		}
		site, err := ScaleSite(d.Input, f)
		if err != nil {
			return err.Error() + "\n"
		}
		return site + "\n"
	})
}
