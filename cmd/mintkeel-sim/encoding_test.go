package main

// The simulator is not built with this project: a change of its wire shows only in a run with it. This test
// plays a script with each kind of message, and compares all that is answered with what an earlier build
// answered. The answers rest on the module's decisions too: a change that is meant to decide otherwise comes
// with a new golden file.

import (
	"os"
	"strings"
	"testing"

	"mintkeel/internal/lab/golden"
)

func TestScriptedRunIsAnsweredAsBefore(t *testing.T) {
	input, err := os.ReadFile("testdata/input.tsv")
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []string{"up", "retire", "list", "item", "view", "incoming", "opened", "signal", "attempt_end",
		"vanished",
		"bell", "probed", "memo"} {
		if !strings.Contains(string(input), "\n"+message+"\t") {
			t.Errorf("the script has no %s", message)
		}
	}
	out, err := runScript(string(input))
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "output.tsv", []byte(out))
}
