package verbs

import (
	"os"
	"os/signal"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardineswitch.dev/sardine/sardctl/demo"
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
itself within a minute. Exit code 0 only if every step held.`,
		Examples: []string{"sardctl demo", "sardctl demo --seed 7 --json", "sardctl demo --keep"},
		Args:     cobra.NoArgs,
		Flags: func(f *pflag.FlagSet) {
			f.Uint64("seed", demoSeed, "seed of all random sources")
			f.Bool("keep", false, "leave the site up afterwards and print commands that work against it")
		},
		Run: runDemo,
	}
}

func runDemo(c *Call) error {
	keep, _ := c.flags.GetBool("keep") // the command defined it
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	defer signal.Stop(stop)
	options := demo.Options{Seed: c.number("seed"), JSON: c.session.json, Keep: keep, Stop: stop}
	return demo.Run(options, c.session.out)
}
