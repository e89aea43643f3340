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

// demoSeed seeds the demo's random sources unless --seed says otherwise.
const demoSeed = 1

func demoVerb() Verb {
	return Verb{
		Use:     "demo",
		Section: SectionOther,
		Short:   "Run a whole small site on loopback and show what it does",
		Long: `Runs three control nodes, three entry nodes, model engines and plain services in one
process on 127.0.0.1, breaks some of them and prints what each step took. Ends by
itself within a minute. Exit code 0 only if every step held. With --fail, brings about
just that failure and checks that the status tells it within 5 s, and again once it is
over.`,
		Examples: []string{"sardctl demo", "sardctl demo --seed 7 --json", "sardctl demo --keep", "sardctl demo --fail domain"},
		Args:     cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("seed", demoSeed, "seed of all random sources")
			f.String("fail", "", "bring about one failure: "+strings.Join(demo.Failures(), ", "))
			f.Bool("keep", false, "leave the site up afterwards and print commands that work against it")
		},
		Run: runDemo,
	}
}

func runDemo(c *Call) error {
	if name := c.text("fail"); name != "" {
		return demo.Fail(demo.FailOptions{
			Name: name, Seed: c.number("seed"), JSON: c.session.json, Report: c.reportFrom, Print: c.printStatus,
		}, c.session.out)
	}
	keep, _ := c.flags.GetBool("keep") // the command defined it
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	defer signal.Stop(stop)
	options := demo.Options{Seed: c.number("seed"), JSON: c.session.json, Keep: keep, Stop: stop}
	return demo.Run(options, c.session.out)
}

// reportFrom returns what sardctl status would print when told of these control
// nodes, which are the demo's own and speak plain HTTP.
func (c *Call) reportFrom(controls []string) (status.Report, error) {
	session := *c.session
	session.controls, session.authority = controls, ""
	asking := *c
	asking.session = &session
	return asking.report()
}
