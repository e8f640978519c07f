package fleet

import "testing"

// Every listed check is found in the current sources.
func TestDroppedChecks(t *testing.T) {
	for _, d := range DroppedChecks() {
		if _, err := d.Mutant("../../.."); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
	}
}
