package main

import (
	"cmp"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mintkeel/internal/operator"
)

func checkCommand() *cobra.Command {
	var from configSources
	var document string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check",
		Short: "Validate the configuration and the operator's file",
		Long: `Validate the configuration and the operator's file, and print what is wrong.

With --document also read a document for the whole fleet, as a controller with
this configuration and operator's file would: docs/config.md.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, file, err := from.read()
			if err == nil && document != "" {
				file, err = checkDocument(document, config, file)
			}
			if asJSON {
				return checkJSON(c, config, file, err)
			}
			if err != nil {
				return err
			}
			printCheckResult(c.OutOrStdout(), from.operatorPath, document, config, file)
			return nil
		},
	}
	from.addFlags(c)
	c.Flags().StringVar(&document, "document", "", "`file` to be checked as the fleet's document")
	c.Flags().BoolVar(&asJSON, "json", false, "print what was found as JSON")
	return c
}

// printCheckResult prints a one-line summary of the configuration, and one of the operator's file
// or of the document.
func printCheckResult(
	out io.Writer, operatorPath, document string, config *controllerConfig, file *operator.File,
) {
	fmt.Fprintf(out, "%s: %d profiles, %d tenants, %d machine kinds, endpoint list up to event %d\n",
		cmp.Or(config.Name, "unnamed"), len(config.facts.Classes), len(config.facts.Tenants),
		len(config.facts.MachineKinds), config.InitialEndpoints.Number)
	if operatorPath != "" && document == "" {
		fmt.Fprintf(out, "%s: memory %s, %d rules, fleet %s\n", operatorPath, onOff(file.Memory != nil),
			ruleCount(file), onOff(file.Fleet != nil))
	}
	if document != "" {
		fmt.Fprintf(out, "%s: can be used; memory %s, %d rules\n", document, onOff(file.Memory != nil),
			ruleCount(file))
	}
}

// checkDocument parses a document for the fleet as the controller with this configuration and
// operator's file would, and returns the merged file.
func checkDocument(
	path string, config *controllerConfig, own *operator.File,
) (*operator.File, error) {
	text, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	return operator.ParseDocument(path, text, operator.Local{Name: config.Name, File: own},
		config.facts)
}

// checkJSON prints the result of a check as JSON. It returns the error of the check.
func checkJSON(c *cobra.Command, config *controllerConfig, file *operator.File, err error) error {
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
		found.Name = config.Name
		found.Profiles = len(config.facts.Classes)
		found.Tenants = len(config.facts.Tenants)
		found.Kinds = len(config.facts.MachineKinds)
		found.Memory = file.Memory != nil
	}
	for _, p := range operator.Problems(err) {
		found.Problems = append(found.Problems, problem{p.File, p.Line, p.Column, p.Field, p.Why})
	}
	if err != nil && len(found.Problems) == 0 {
		found.Problems = append(found.Problems, problem{Why: err.Error(), Field: errorField(err)})
	}
	printed := printJSON(c, found)
	return cmp.Or(err, printed)
}
