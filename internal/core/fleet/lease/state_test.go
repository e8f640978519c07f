package lease

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

var a, b, c = Holder{"a", 1}, Holder{"b", 1}, Holder{"c", 1}

// stateWithHolders returns a state with the leases x and y, x assigned to the holders in turn.
func stateWithHolders(holders ...Holder) *State {
	s := &State{}
	s.Apply(declare("x", "y"))
	for _, h := range holders {
		s.Apply(assign("x", s.Leases["x"].Revision, h))
	}
	return s
}

func assign(name Name, revision uint64, to Holder) Command {
	return Command{Assign: &Assign{Name: name, Revision: revision, To: to}}
}

func renew(holder Holder, name Name, token Token) Command {
	return Command{Renew: &Renew{Holder: holder, Grants: []Grant{{name, token}}}}
}

func release(holder Holder, name Name, token Token) Command {
	return Command{Release: &Release{Holder: holder, Grant: Grant{name, token}}}
}

// preferredHolder returns the command that sets the preferred holder of lease x.
func preferredHolder(to members.ID) Command {
	return Command{Prefer: &Prefer{Name: "x", To: to}}
}

func declare(names ...Name) Command {
	return Command{Declare: &Declare{Names: names}}
}

// TestApplyChangesOnlyWhatFitsTheState: a command that was decided on an older state, or comes from
// a former holder, changes nothing.
func TestApplyChangesOnlyWhatFitsTheState(t *testing.T) {
	heldByB := func() *State { return stateWithHolders(a, b) } // x: token 2, revision 2
	nobody := Holder{}
	nameTooLong := Name(make([]byte, maxNameBytes+1))
	for name, c := range map[string]struct {
		state   *State
		command Command
		changed int
		token   Token
		holder  Holder
	}{
		"assignment of a free lease":                    {stateWithHolders(), assign("x", 0, a), 1, 1, a},
		"assignment decided on an older revision":       {heldByB(), assign("x", 1, c), 0, 2, b},
		"assignment decided on the current revision":    {heldByB(), assign("x", 2, c), 1, 3, c},
		"assignment to the same holder":                 {heldByB(), assign("x", 2, b), 1, 3, b},
		"assignment to nobody":                          {heldByB(), assign("x", 2, Holder{}), 0, 2, b},
		"assignment of an unknown lease":                {heldByB(), assign("z", 0, c), 0, 2, b},
		"renewal by the holder":                         {heldByB(), renew(b, "x", 2), 1, 2, b},
		"renewal with an older token":                   {heldByB(), renew(b, "x", 1), 0, 2, b},
		"renewal by a former holder":                    {heldByB(), renew(a, "x", 2), 0, 2, b},
		"renewal by another run of the holder":          {heldByB(), renew(Holder{"b", 2}, "x", 2), 0, 2, b},
		"renewal by nobody of a free lease":             {stateWithHolders(), renew(nobody, "x", 0), 0, 0, nobody},
		"release by the holder":                         {heldByB(), release(b, "x", 2), 1, 2, Holder{}},
		"release with an older token":                   {heldByB(), release(b, "x", 1), 0, 2, b},
		"preference for another":                        {heldByB(), preferredHolder("c"), 1, 2, b},
		"preference for the holder itself":              {heldByB(), preferredHolder("b"), 0, 2, b},
		"no longer declared":                            {heldByB(), declare("y"), 1, 2, b},
		"declaration of the same leases":                {heldByB(), declare("x", "y"), 0, 2, b},
		"declaration of an empty name and one too long": {heldByB(), declare("x", "y", "", nameTooLong), 0, 2, b},
		"empty command":                                 {heldByB(), Command{}, 0, 2, b},
	} {
		before := c.state.Leases["x"].Revision
		changed := c.state.Apply(c.command)
		g := c.state.Leases["x"]
		if len(changed) != c.changed || g.Token != c.token || g.Holder != c.holder {
			t.Errorf("%s: changed %v and gave %+v, want the number changed, token and holder of the case", name, changed, *g)
		}
		raisesRevision := c.command.Assign != nil || c.command.Renew != nil || c.command.Release != nil
		if raisesRevision && (g.Revision > before) != (c.changed > 0) {
			t.Errorf("%s: revision %d after %d, want it raised if and only if the lease changed", name, g.Revision, before)
		}
	}
	s := heldByB()
	s.Apply(declare("y"))
	if s.Apply(assign("x", 2, c)) != nil || s.Apply(preferredHolder("c")) != nil {
		t.Error("a retired lease is assigned or gets a preferred holder, want neither")
	}
	s.Apply(declare("x", "y"))
	if s.Leases["x"].Retired || s.Leases["x"].Token != 2 {
		t.Errorf("after it is declared again x is %+v, want not retired, with token 2", *s.Leases["x"])
	}
	restored := &State{}
	restored.Restore(s.List())
	if fmt.Sprint(restored.List()) != fmt.Sprint(s.List()) {
		t.Error("a restored snapshot differs from the state, want it equal")
	}
	for i := range 2 * maxLeases {
		s.Apply(declare(Name(fmt.Sprint("w", i))))
	}
	if len(s.Leases) > maxLeases {
		t.Errorf("the state has %d leases, want at most maxLeases", len(s.Leases))
	}
}

// Only the current holder may replace the state that is stored with a lease, and only the version
// that it has read. If a former holder, or one that has not read the last version, could write, the
// next holder would lose what was stored.
func TestOnlyHolderStoresAndLoadsState(t *testing.T) {
	s := stateWithHolders(a)
	store := func(h Holder, token Token, serial uint64, data string) bool {
		command := &StoreState{Holder: h, Grant: Grant{"x", token}, Serial: serial, Data: []byte(data)}
		return s.Apply(Command{StoreState: command}) != nil
	}
	for i, c := range []struct {
		holder Holder
		token  Token
		serial uint64
		ok     bool
	}{
		{a, 1, 2, false},
		{a, 1, 1, true},
		{a, 1, 1, false},
		{b, 1, 2, false},
		{a, 2, 2, false},
		{a, 1, 2, true},
	} {
		if store(c.holder, c.token, c.serial, fmt.Sprint(i)) != c.ok {
			t.Errorf("case %d: StoreState applied: %v, want the opposite", i, !c.ok)
		}
	}
	s.Apply(assign("x", 1, b))
	if store(a, 1, 3, "late") || store(a, 2, 3, "late") || string(s.Leases["x"].State) != "5" {
		t.Errorf("after writes of a former holder the state is %q, want \"5\"", s.Leases["x"].State)
	}
	load := func(h Holder, token Token) Command {
		return Command{LoadState: &LoadState{Holder: h, Grant: Grant{"x", token}}}
	}
	if s.Apply(load(a, 1)) != nil || s.Apply(load(b, 2)) == nil {
		t.Error("a former holder can load the state, or the current holder can't")
	}
	if !store(b, 2, 3, "next") || store(b, 2, 4, string(make([]byte, MaxStateBytes+1))) {
		t.Error("the next holder can't store, or can store more than MaxStateBytes")
	}
	restored := &State{}
	restored.Restore(s.List())
	if restored.Leases["x"].Serial != 3 || string(restored.Leases["x"].State) != "next" {
		t.Errorf("after a snapshot x is %+v, want serial 3 and state \"next\"", restored.Leases["x"])
	}
}
