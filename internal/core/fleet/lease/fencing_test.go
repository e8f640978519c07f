package lease

import (
	"fmt"
	"testing"
)

// A message of a former holder arrives after an effect of the next holder. Its token is lower, and
// the receiver rejects it.
func TestFencingCheckRejectsOlderTokens(t *testing.T) {
	check := NewFencingCheck(map[Name]Token{"stored": 5})
	for i, c := range []struct {
		name      Name
		token     Token
		ok, isNew bool
	}{
		{"x", 2, true, true},
		{"x", 2, true, false},
		{"x", 1, false, false},
		{"x", 3, true, true},
		{"x", 2, false, false},
		{"x", 0, false, false},
		{"y", 0, false, false},
		{"stored", 4, false, false},
		{"stored", 5, true, false},
	} {
		if ok, isNew := check.Admit(c.name, c.token); ok != c.ok || isNew != c.isNew {
			t.Errorf("case %d: Admit = %v, %v, want the results of the case", i, ok, isNew)
		}
	}
	check.Raise("x", 9)
	if check.Seen()["x"] != 9 {
		t.Error("the highest token after Raise to 9 is not 9")
	}
	check.Raise("x", 4)
	if check.Seen()["x"] != 9 {
		t.Error("the highest token after Raise to 4 is no longer 9, want it not lowered")
	}
	for i := range 2 * maxLeases {
		check.Admit(Name(fmt.Sprint(i)), 1)
		check.Raise(Name(fmt.Sprint("r", i)), 1)
	}
	if len(check.Seen()) > maxLeases {
		t.Errorf("the check remembers %d leases, want at most maxLeases", len(check.Seen()))
	}
}
