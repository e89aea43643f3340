// Package start is the entry point of the sardctl program: its command line.
package start

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/sardctl/verbs"
)

// Main runs the program with its arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	return Run(args, os.Stdin, out, errs, os.Getenv)
}

// Run runs the program with the given streams and environment lookup, so that
// tests run whole commands in the process.
func Run(args []string, in io.Reader, out, errs io.Writer, getenv func(string) string) int {
	session := verbs.NewSession(in, out, errs, getenv)
	root := newRoot(session)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return int(verbs.ExitDone)
	}
	_, _ = fmt.Fprint(errs, verbs.ErrorText(err))
	return int(verbs.ExitOf(err))
}

func newRoot(session *verbs.Session) *cobra.Command {
	root := &cobra.Command{
		Use:   "sardctl",
		Short: "Operate a site of sardineswitch",
		Long: `sardctl shows the state of a site, changes the settings of its teams and acts on its
nodes. Name the control nodes once: export ` + verbs.EnvControls + `=10.1.1.5:7071,10.1.2.5:7071`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          rejectUnknown,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	session.Flags(root.PersistentFlags())
	for _, section := range verbs.Sections() {
		root.AddGroup(&cobra.Group{ID: string(section), Title: string(section) + ":"})
	}
	for _, v := range verbs.Table() {
		c := v.Command(session)
		c.GroupID = string(v.Section)
		root.AddCommand(c)
	}
	root.SetHelpCommandGroupID(string(verbs.SectionOther))
	root.SetCompletionCommandGroupID(string(verbs.SectionOther))
	setUsageCode(root)
	return root
}

// rejectUnknown returns a usage error that names an unknown command.
func rejectUnknown(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return codes.New(codes.UsageError, "unknown command %q, see %s --help", args[0], c.CommandPath())
}

// setUsageCode turns the errors that cobra reports for the command line into
// codes.UsageError, for c and its subcommands.
func setUsageCode(c *cobra.Command) {
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asUsageError(err) })
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error { return asUsageError(check(c, args)) }
	}
	for _, sub := range c.Commands() {
		setUsageCode(sub)
	}
}

func asUsageError(err error) error {
	var coded *codes.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return codes.New(codes.UsageError, "%v", err)
}
