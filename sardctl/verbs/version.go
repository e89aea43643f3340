package verbs

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionVerb() Verb {
	return Verb{
		Use:      "version",
		Section:  SectionOther,
		Short:    "Print the version",
		Long:     `Prints the revision that the program was built from and the Go version.`,
		Examples: []string{"sardctl version"},
		Args:     cobra.NoArgs,
		Run: func(c *Call) error {
			c.printf("sardctl %s %s\n", revision(), runtime.Version())
			return nil
		},
	}
}

func revision() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
