package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "version",
		Short: "Print the version and the build",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b := readBuildInfo()
			if asJSON {
				return printJSON(c, b)
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "mintkeel", b)
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return c
}

// buildInfo holds the version, the Go release and the revision of the source.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified"`
}

func readBuildInfo() (b buildInfo) {
	b.Version = "unknown build"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	b.Go = info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func (b buildInfo) String() string {
	text := b.Version + " " + b.Go
	if b.Revision != "" {
		text += " vcs.revision=" + b.Revision
	}
	if b.Modified {
		text += " vcs.modified=true"
	}
	return text
}
