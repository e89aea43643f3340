// Package verbs holds sardctl's commands, one file each. An entry of Table defines
// a command's help, its completion and its part of docs/sardctl.md.
package verbs

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Section groups commands in the help text and in the docs.
type Section string

// The sections.
const (
	SectionSite     Section = "See the site"
	SectionSettings Section = "Change settings"
	SectionRepair   Section = "Act on nodes and targets"
	SectionKeys     Section = "Keys"
	SectionOther    Section = "Other"
)

// Verb is one command.
type Verb struct {
	Use      string // name and arguments, such as "get PATH"
	Section  Section
	Short    string
	Long     string
	Examples []string // whole command lines
	Hidden   bool
	Args     cobra.PositionalArgs
	Complete func(c *Call) []string // values of the first argument
	Flags    func(f *pflag.FlagSet)
	Run      func(c *Call) error
	Subs     []Verb
}

// Name returns the command's name.
func (v Verb) Name() string {
	name, _, _ := strings.Cut(v.Use, " ")
	return name
}

// Command returns the verb as a cobra command that runs in s.
func (v Verb) Command(s *Session) *cobra.Command {
	c := &cobra.Command{
		Use:     v.Use,
		Short:   v.Short,
		Long:    v.Long,
		Example: examples(v.Examples),
		Hidden:  v.Hidden,
		Args:    v.Args,
	}
	if v.Flags != nil {
		v.Flags(c.Flags())
	}
	if v.Run != nil {
		c.RunE = func(k *cobra.Command, args []string) error {
			return v.Run(newCall(s, k, args))
		}
	}
	if v.Complete != nil {
		c.ValidArgsFunction = func(k *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
			if len(args) > 0 {
				return nil, cobra.ShellCompDirectiveNoFileComp
			}
			return v.Complete(newCall(s, k, args)), cobra.ShellCompDirectiveNoFileComp
		}
	}
	for _, sub := range v.Subs {
		c.AddCommand(sub.Command(s))
	}
	return c
}

func examples(lines []string) string {
	return "  " + strings.Join(lines, "\n  ")
}
