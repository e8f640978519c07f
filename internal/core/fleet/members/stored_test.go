package members

// Controllers compare their views by checksums. If a build computed them in another way than an
// earlier one, controllers of both would send each other all members at each comparison while a
// fleet is updated. These tests pin the checksums, and the names of states as operators and their
// programs read them.

import (
	"fmt"
	"strings"
	"testing"

	"mintkeel/internal/lab/golden"
)

func TestViewChecksumsAreStable(t *testing.T) {
	var text strings.Builder
	for i := range 4 {
		e := newEntry(Member{ID: ID(fmt.Sprint("m", i)), Addr: fmt.Sprint("10.0.1.", i, ":9443"), State: State(i),
			Incarnation: Incarnation(5 + i), Willing: i%2 == 0, Run: uint64(100 + i)}, 0)
		fmt.Fprintf(&text, "%s: bucket %d, checksum %08x, place in a ring %016x\n",
			e.ID, e.bucket(), e.checksum(), e.ringPosition(3))
	}
	golden.File(t, "checksums.golden", []byte(text.String()))
}

func TestStateNamesAreStable(t *testing.T) {
	if names := fmt.Sprint(Alive, Suspect, Dead, Left); names != "alive suspect gone left" {
		t.Error(names)
	}
}
