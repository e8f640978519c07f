package fleet

import "testing"

// The list of checks that can be dropped is of the sources as they are.
func TestDroppedChecks(t *testing.T) {
	for _, d := range DroppedChecks() {
		if _, err := d.Mutant("../../.."); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
	}
}
