package vary

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSite prints scaled parts of site files.
func TestSite(t *testing.T) {
	datadriven.RunTest(t, "testdata/sites", func(t *testing.T, d *datadriven.TestData) string {
		f := Factors{Engines: 1, Load: 1, Times: 1, Shares: 1}
		for name, factor := range map[string]*float64{"engines": &f.Engines, "load": &f.Load, "times": &f.Times, "shares": &f.Shares} {
			if d.HasArg(name) {
				d.ScanArgs(t, name, factor)
			}
		}
		site, err := Site(d.Input, f)
		if err != nil {
			return err.Error() + "\n"
		}
		return site + "\n"
	})
}
