package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"mintkeel/internal/operator"
)

// sources are where a controller's settings stand.
type sources struct{ config, operator string }

// flags adds the flags that name them; the platform's variables are their defaults.
func (s *sources) flags(c *cobra.Command) {
	c.Flags().StringVar(&s.config, "config", os.Getenv("PROXY_CONFIG"),
		"`file` with what the platform tells, as JSON (PROXY_CONFIG)")
	c.Flags().StringVar(&s.operator, "operator", os.Getenv("MINTKEEL_OPERATOR"),
		"`file` with the operator's own settings, as HCL (MINTKEEL_OPERATOR); none: all is off")
}

// read reads both.
func (s *sources) read() (*start, *operator.File, error) {
	if s.config == "" {
		return nil, nil, fmt.Errorf("no configuration: set --config or PROXY_CONFIG")
	}
	told, err := readStart(s.config)
	if err != nil {
		return nil, nil, err
	}
	file, err := operator.Read(s.operator, told.facts)
	return told, file, err
}

func checkCommand() *cobra.Command {
	var from sources
	var document string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check",
		Short: "Read a configuration and the operator's file, and tell what is wrong with them",
		Long: `Read a configuration and the operator's file, and tell what is wrong with them.

With --document also read a document for the whole fleet, as a controller with
this configuration and operator's file would: docs/config.md.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, file, err := from.read()
			if err == nil && document != "" {
				file, err = checkDocument(document, s, file)
			}
			if asJSON {
				return checkJSON(c, s, file, err)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d profiles, %d tenants, %d kinds of engine, feed up to event %d\n",
				cmp.Or(s.Name, "unnamed"), len(s.facts.Classes), len(s.facts.Tenants), len(s.facts.MachineKinds), s.Known.Number)
			if from.operator != "" && document == "" {
				fmt.Fprintf(c.OutOrStdout(), "%s: memory %s, %d rules, fleet %s\n", from.operator, onOff(file.Memory != nil), ruleCount(file),
					onOff(file.Fleet != nil))
			}
			if document != "" {
				fmt.Fprintf(c.OutOrStdout(), "%s: can be used; memory %s, %d rules\n", document, onOff(file.Memory != nil), ruleCount(file))
			}
			return nil
		},
	}
	from.flags(c)
	c.Flags().StringVar(&document, "document", "", "`file` to be checked as the fleet's document")
	c.Flags().BoolVar(&asJSON, "json", false, "print what was found as JSON")
	return c
}

// checkDocument reads a document as the controller with this configuration and operator's file would, and returns the whole
// that it would run with.
func checkDocument(path string, s *start, own *operator.File) (*operator.File, error) {
	text, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	return operator.ParseDocument(path, text, operator.Local{Name: s.Name, File: own}, s.facts)
}

func ruleCount(f *operator.File) int {
	if f.Rules == nil {
		return 0
	}
	return f.Rules.Len()
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// checkJSON prints what a check found, for programs; the exit code is the same.
func checkJSON(c *cobra.Command, s *start, file *operator.File, err error) error {
	type problem struct {
		File   string `json:"file,omitempty"`
		Line   int    `json:"line,omitempty"`
		Column int    `json:"column,omitempty"`
		Field  string `json:"field,omitempty"`
		Why    string `json:"why"`
	}
	found := struct {
		OK       bool      `json:"ok"`
		Name     string    `json:"name,omitempty"`
		Profiles int       `json:"profiles,omitempty"`
		Tenants  int       `json:"tenants,omitempty"`
		Kinds    int       `json:"kinds,omitempty"`
		Memory   bool      `json:"memory"`
		Problems []problem `json:"problems"`
	}{OK: err == nil, Problems: []problem{}}
	if err == nil {
		found.Name, found.Profiles, found.Tenants = s.Name, len(s.facts.Classes), len(s.facts.Tenants)
		found.Kinds, found.Memory = len(s.facts.MachineKinds), file.Memory != nil
	}
	for _, p := range operator.Problems(err) {
		found.Problems = append(found.Problems, problem{p.File, p.Line, p.Column, p.Field, p.Why})
	}
	if err != nil && len(found.Problems) == 0 {
		found.Problems = append(found.Problems, problem{Why: err.Error(), Field: fieldOf(err)})
	}
	printed := printJSON(c, found)
	return cmp.Or(err, printed)
}

func printJSON(c *cobra.Command, what any) error {
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(what)
}

func versionCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "version",
		Short: "Print what was built",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b := built()
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

// build is what was built, from what.
type build struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified"`
}

func built() (b build) {
	b.Version = "unknown build"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
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

func (b build) String() string {
	text := b.Version + " " + b.Go
	if b.Revision != "" {
		text += " vcs.revision=" + b.Revision
	}
	if b.Modified {
		text += " vcs.modified=true"
	}
	return text
}
