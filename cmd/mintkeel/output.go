package main

import (
	"encoding/json"
	"errors"

	"github.com/spf13/cobra"

	"mintkeel/internal/operator"
)

// printJSON prints a value as indented JSON.
func printJSON(c *cobra.Command, value any) error {
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
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

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// errorIf returns an error with the text if the condition holds, else nil.
func errorIf(is bool, text string) error {
	if is {
		return errors.New(text)
	}
	return nil
}
