package verbs

import (
	"os"
	"os/signal"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/sardctl/demo"
	"sardineswitch.dev/sardine/status"
)

// demoSeed is the default of --seed.
const demoSeed = 1

func demoVerb() Verb {
	return Verb{
		Use:     "demo",
		Section: SectionOther,
		Short:   "Run a whole small site on loopback and show what it does",
		Long: `Runs three control nodes, three entry nodes, model engines and plain services in one
process on 127.0.0.1, makes some of them fail and prints what each step took. Ends by
itself within a minute. Exit code 0 only if every step succeeded. With --fail, injects
just that failure and checks that the status reports it within 5 s, and its end as
well.`,
		Examples: []string{"sardctl demo", "sardctl demo --seed 7 --json", "sardctl demo --keep", "sardctl demo --fail domain"},
		Args:     cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("seed", demoSeed, "seed of all random sources")
			f.String("fail", "", "inject one failure: "+strings.Join(demo.Failures(), ", "))
			f.Bool("keep", false, "leave the site up afterwards and print commands that work against it")
		},
		Run: runDemo,
	}
}

func runDemo(c *Call) error {
	if name := c.stringFlag("fail"); name != "" {
		return demo.RunWithFailure(demo.FailOptions{
			Name: name, Seed: c.uintFlag("seed"), JSON: c.session.json, Report: c.reportFrom, Print: c.printStatus,
		}, c.session.out)
	}
	keep, _ := c.flags.GetBool("keep") // the command defined it
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	defer signal.Stop(stop)
	options := demo.Options{Seed: c.uintFlag("seed"), JSON: c.session.json, Keep: keep, Stop: stop}
	return demo.Run(options, c.session.out)
}

// reportFrom returns the report that sardctl status would print for these control
// nodes, which are the demo's own and use plain HTTP.
func (c *Call) reportFrom(controls []string) (status.Report, error) {
	session := *c.session
	session.controls, session.authority = controls, ""
	call := *c
	call.session = &session
	return call.report()
}
