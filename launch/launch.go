// Package launch holds the parts of the command line and start-up that the daemons
// and other programs share.
package launch

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
)

// Program describes a program's root command.
type Program struct {
	Name     string
	Short    string
	Example  string
	Commands []func() *cobra.Command // in the order of the help text
}

// Main runs the program with its arguments and returns the exit code: 0, or 1
// after an error, which is written to errs.
func (p Program) Main(args []string, out, errs io.Writer) int {
	root := p.Root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return 1
	}
	return 0
}

// Root returns the root command with all commands below it.
func (p Program) Root() *cobra.Command {
	root := &cobra.Command{
		Use:           p.Name,
		Short:         p.Short,
		Example:       p.Example,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	for _, build := range p.Commands {
		root.AddCommand(build())
	}
	return root
}

// NewVersion returns the command that prints the version of a program.
func NewVersion(program string) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  " + program + " version",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintf(c.OutOrStdout(), "%s %s\n", program, sardine.Release)
			return nil
		},
	}
}
