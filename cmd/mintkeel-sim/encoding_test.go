package main

// The simulator is not built with this project, so an accidental change of its wire would show only in a run
// with it. This test feeds a script with every kind of message to the command and compares the whole output
// with that of an earlier build. The output also depends on the module's decisions: an intended change of a
// decision needs a new golden file.

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
			t.Errorf("testdata/input.tsv has no %q message", message)
		}
	}
	out, err := runScript(string(input))
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "output.tsv", []byte(out))
}
