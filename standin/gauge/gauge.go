// Package gauge implements the measurements of the command "standin measure".
// Each has a file with its flags and its run, and one row in Table.
package gauge

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Measure is one measurement of the table.
type Measure struct {
	Name    string
	Short   string
	Example string
	// Build adds the measurement's flags to c and returns the function that
	// runs it. The value that this function returns is printed as JSON on the
	// last line.
	Build func(c *cobra.Command) func(out io.Writer) (any, error)
}

// Table returns the measurements in the order of the help text.
func Table() []Measure {
	return []Measure{
		routing(),
		admission(),
		loadMeasure(),
		claims(),
		limits(),
		groupsMeasure(),
		quorumMeasure(),
		successionMeasure(),
		logMeasure(),
		settingsMeasure(),
		configMeasure(),
		scaleMeasure(),
		entryMeasure(),
		chaosMeasure(),
	}
}

// Command returns the measurement as a subcommand.
func (m Measure) Command() *cobra.Command {
	c := &cobra.Command{Use: m.Name, Short: m.Short, Example: m.Example, Args: cobra.NoArgs}
	run := m.Build(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return printResult(c.OutOrStdout(), run)
	}
	return c
}

func printResult(out io.Writer, run func(io.Writer) (any, error)) error {
	result, err := run(out)
	if err != nil {
		return err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(line))
	return err
}
