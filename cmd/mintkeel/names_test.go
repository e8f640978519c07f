package main

// Operators' scripts call commands by name, and a renamed command would only be noticed when a script fails, perhaps during
// an incident. This test pins the names of commands, their arguments and their flags.

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/golden"
)

// flagName matches a flag at the start of a line of a command's help.
var flagName = regexp.MustCompile(`(?m)^ +(?:-\w, )?--([a-z-]+)`)

// commandNames writes a line for a command, for each of its own flags, and recursively for its subcommands.
func commandNames(out *strings.Builder, above string, c *cobra.Command) {
	hidden := ""
	if c.Hidden {
		hidden = " (hidden)"
	}
	fmt.Fprintf(out, "%s%s%s\n", above, c.Use, hidden)
	for _, found := range flagName.FindAllStringSubmatch(c.LocalFlags().FlagUsages(), -1) {
		flag := c.LocalFlags().Lookup(found[1])
		fmt.Fprintf(out, "%s%s --%s %s, by default %q\n", above, c.Name(), flag.Name, flag.Value.Type(), flag.DefValue)
	}
	for _, child := range c.Commands() {
		commandNames(out, above+c.Name()+" ", child)
	}
}

func TestCommandNamesAreStable(t *testing.T) {
	for _, variable := range []string{"PROXY_CONFIG", "MINTKEEL_OPERATOR", "MINTKEEL_FLEET"} {
		t.Setenv(variable, "from "+variable)
	}
	var out strings.Builder
	for _, c := range []*cobra.Command{serveCommand(), checkCommand(), versionCommand(), memoryCommand(), rulesCommand(),
		fleetCommand(), maintenanceCommand()} {
		commandNames(&out, "", c)
	}
	golden.File(t, "commands.golden", []byte(out.String()))
}
