package lease

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

var a, b, c = Holder{"a", 1}, Holder{"b", 1}, Holder{"c", 1}

// named is a state with leases x and y, x given to some holders in turn.
func named(to ...Holder) *State {
	s := &State{}
	s.Apply(Command{Declare: &Declare{Names: []Name{"x", "y"}}})
	for _, h := range to {
		s.Apply(Command{Assign: &Assign{Name: "x", Renewal: s.Leases["x"].Renewal, To: h}})
	}
	return s
}

func TestApply(t *testing.T) {
	owned := func() *State { return named(a, b) } // x: b, fencing token 2, renewal 2
	for name, c := range map[string]struct {
		state   *State
		command Command
		changed int
		epoch   Token
		holder  Holder
	}{
		"a grant":                                 {named(), Command{Assign: &Assign{Name: "x", To: a}}, 1, 1, a},
		"one that rests on what was":              {owned(), Command{Assign: &Assign{Name: "x", Renewal: 1, To: c}}, 0, 2, b},
		"one that rests on what is":               {owned(), Command{Assign: &Assign{Name: "x", Renewal: 2, To: c}}, 1, 3, c},
		"one to the same again":                   {owned(), Command{Assign: &Assign{Name: "x", Renewal: 2, To: b}}, 1, 3, b},
		"one to nobody":                           {owned(), Command{Assign: &Assign{Name: "x", Renewal: 2}}, 0, 2, b},
		"one of a work that there is not":         {owned(), Command{Assign: &Assign{Name: "z", To: c}}, 0, 2, b},
		"a renewal":                               {owned(), Command{Renew: &Renew{Holder: b, Grants: []Grant{{"x", 2}}}}, 1, 2, b},
		"a renewal of an epoch before":            {owned(), Command{Renew: &Renew{Holder: b, Grants: []Grant{{"x", 1}}}}, 0, 2, b},
		"a renewal of an owner before":            {owned(), Command{Renew: &Renew{Holder: a, Grants: []Grant{{"x", 2}}}}, 0, 2, b},
		"a renewal of another run":                {owned(), Command{Renew: &Renew{Holder: Holder{"b", 2}, Grants: []Grant{{"x", 2}}}}, 0, 2, b},
		"a renewal by nobody of what nobody has":  {named(), Command{Renew: &Renew{Grants: []Grant{{"x", 0}}}}, 0, 0, Holder{}},
		"a release":                               {owned(), Command{Release: &Release{Holder: b, Grant: Grant{"x", 2}}}, 1, 2, Holder{}},
		"a release of an epoch before":            {owned(), Command{Release: &Release{Holder: b, Grant: Grant{"x", 1}}}, 0, 2, b},
		"an operator's word":                      {owned(), Command{Prefer: &Prefer{"x", "c"}}, 1, 2, b},
		"an operator's word for who has it":       {owned(), Command{Prefer: &Prefer{"x", "b"}}, 0, 2, b},
		"no longer wanted":                        {owned(), Command{Declare: &Declare{Names: []Name{"y"}}}, 1, 2, b},
		"nothing new":                             {owned(), Command{Declare: &Declare{Names: []Name{"x", "y"}}}, 0, 2, b},
		"a name that is too long and one of none": {owned(), Command{Declare: &Declare{Names: []Name{"x", "y", "", Name(make([]byte, maxName+1))}}}, 0, 2, b},
		"nothing":                                 {owned(), Command{}, 0, 2, b},
	} {
		before := c.state.Leases["x"].Renewal
		changed := c.state.Apply(c.command)
		g := c.state.Leases["x"]
		if len(changed) != c.changed || g.Token != c.epoch || g.Holder != c.holder {
			t.Errorf("%s: %v, %+v", name, changed, *g)
		}
		if (c.command.Assign != nil || c.command.Renew != nil || c.command.Release != nil) && (g.Renewal > before) != (c.changed > 0) {
			t.Errorf("%s: renewal %d after %d", name, g.Renewal, before)
		}
	}
	s := owned()
	s.Apply(Command{Declare: &Declare{Names: []Name{"y"}}})
	if s.Apply(Command{Assign: &Assign{Name: "x", Renewal: 2, To: c}}) != nil || s.Apply(Command{Prefer: &Prefer{"x", "c"}}) != nil {
		t.Error("a work that is not wanted is given or wanted")
	}
	if s.Apply(Command{Declare: &Declare{Names: []Name{"x", "y"}}}); s.Leases["x"].Retired || s.Leases["x"].Token != 2 {
		t.Errorf("named again: %+v", *s.Leases["x"])
	}
	again := &State{}
	if again.Restore(s.List()); fmt.Sprint(again.List()) != fmt.Sprint(s.List()) {
		t.Error("a snapshot tells something else")
	}
	for i := range 2 * maxLeases {
		s.Apply(Command{Declare: &Declare{Names: []Name{Name(fmt.Sprint("w", i))}}})
	}
	if len(s.Leases) > maxLeases {
		t.Errorf("%d works", len(s.Leases))
	}
}

// What holders hand on: written by the holder alone, on top of what it knows, and read by the next.
func TestHandOn(t *testing.T) {
	s := named(a)
	put := func(h Holder, e Token, serial uint64, data string) bool {
		return s.Apply(Command{StoreState: &StoreState{Holder: h, Grant: Grant{"x", e}, Serial: serial, Data: []byte(data)}}) != nil
	}
	for i, c := range []struct {
		h      Holder
		e      Token
		serial uint64
		ok     bool
	}{{a, 1, 2, false}, {a, 1, 1, true}, {a, 1, 1, false}, {b, 1, 2, false}, {a, 2, 2, false}, {a, 1, 2, true}} {
		if put(c.h, c.e, c.serial, fmt.Sprint(i)) != c.ok {
			t.Errorf("%d: %v", i, !c.ok)
		}
	}
	s.Apply(Command{Assign: &Assign{Name: "x", Renewal: 1, To: b}})
	if put(a, 1, 3, "late") || put(a, 2, 3, "late") || string(s.Leases["x"].State) != "5" {
		t.Errorf("an old owner writes: %q", s.Leases["x"].State)
	}
	if s.Apply(Command{LoadState: &LoadState{a, Grant{"x", 1}}}) != nil || s.Apply(Command{LoadState: &LoadState{b, Grant{"x", 2}}}) == nil {
		t.Error("the owner can't read, or another can")
	}
	if !put(b, 2, 3, "next") || put(b, 2, 4, string(make([]byte, MaxData+1))) {
		t.Error("the next owner can't write, or too much")
	}
	again := &State{}
	if again.Restore(s.List()); again.Leases["x"].Serial != 3 || string(again.Leases["x"].State) != "next" {
		t.Errorf("after a snapshot: %+v", again.Leases["x"])
	}
}

func all(ids ...members.ID) (list []Candidate) {
	for _, id := range ids {
		list = append(list, Candidate{Holder: Holder{id, 1}, Willing: true})
	}
	return list
}

// gives are to whom leases go.
func gives(commands []Command) string {
	text := ""
	for _, c := range commands {
		text += fmt.Sprintf("%s:%s ", c.Assign.Name, c.Assign.To.ID)
	}
	return text
}

func TestManager(t *testing.T) {
	terms := Terms{Lease: 1000}
	s := named(a) // y is free
	st := NewManager(terms, 0)
	if got := gives(st.Decide(0, s, all("b"))); got != "y:b " {
		t.Errorf("at first: %q", got)
	}
	if got := gives(st.Decide(10, s, all("b"))); got != "" {
		t.Errorf("while that is on its way: %q", got)
	}
	if got := gives(st.Decide(proposalTimeout+1, s, all("b"))); got != "x:b y:b " {
		t.Errorf("if it was lost, and x has not been renewed: %q", got)
	}
	st = NewManager(terms, 0)
	for _, at := range []float64{1, 1499} {
		if got := gives(st.Decide(at, s, all("b"))); at > 1 && got != "" {
			t.Errorf("%g ms after it began to lead: %q", at, got)
		}
	}
	renewed := Command{Renew: &Renew{Holder: a, Grants: []Grant{{"x", 1}}}}
	st.Applied(1400, renewed, s.Apply(renewed))
	if got := gives(st.Decide(2899, s, all("b"))); got != "" {
		t.Errorf("after a renewal: %q", got)
	}
	if got := gives(st.Decide(2900, s, all("a", "b"))); got != "x:b " {
		t.Errorf("when its lease is over: %q", got)
	}
	if st.Next(2000, named()) > 3000 || st.Next(2000, s) != 2900 {
		t.Error("it is to be asked too late")
	}

	st = NewManager(terms, 0)
	if got := gives(st.Decide(0, named(), all("a", "b"))); got != "x:a y:b " && got != "x:b y:a " {
		t.Errorf("two works and two controllers: %q", got)
	}
	slow := all("a", "b")
	slow[0].Slow = true
	if got := gives(NewManager(terms, 0).Decide(0, named(), slow)); got != "x:b y:b " {
		t.Errorf("one is slow: %q", got)
	}
	slow[1].Willing = false
	if got := gives(NewManager(terms, 0).Decide(0, named(), slow)); got != "x:a y:a " {
		t.Errorf("one is not willing: %q", got)
	}
	if got := gives(NewManager(terms, 0).Decide(0, named(), nil)); got != "" {
		t.Errorf("nobody is there: %q", got)
	}

	s = named(a) // who failed at it rests
	st = NewManager(terms, 0)
	failed := Command{Release: &Release{Holder: a, Grant: Grant{"x", 1}, Failed: true}}
	st.Applied(100, failed, s.Apply(failed))
	if got := gives(st.Decide(101, s, all("a"))); got != "y:a " {
		t.Errorf("the only one has failed at it: %q", got)
	}
	if got := gives(st.Decide(101+failureBackoff, s, all("a"))); got != "x:a y:a " {
		t.Errorf("a long time after: %q", got)
	}

	s = named() // who does not take it up
	st = NewManager(terms, 0)
	give := Command{Assign: &Assign{Name: "x", To: a}}
	st.Applied(0, give, s.Apply(give))
	if got := gives(st.Decide(1500, s, all("a", "b"))[:1]); got != "x:b " {
		t.Errorf("it was not taken up: %q", got)
	}

	s = named(a) // an operator's word
	s.Apply(Command{Prefer: &Prefer{"x", "c"}})
	s.Apply(Command{Release: &Release{Holder: a, Grant: Grant{"x", 1}}})
	if got := gives(NewManager(terms, 0).Decide(0, s, all("a", "b", "c"))[:1]); got != "x:c " {
		t.Errorf("wanted at c: %q", got)
	}
	st = NewManager(terms, 0)
	if got := gives(st.Decide(10, s, all("a"))); got != "y:a " {
		t.Errorf("c is not there: %q", got)
	}
	if got := gives(st.Decide(5000, s, all("a"))); got != "x:a y:a " {
		t.Errorf("c has not come: %q", got)
	}
}

func TestClient(t *testing.T) {
	terms := Terms{Lease: 1000}
	h := NewClient(a, terms)
	may := func(now float64) bool { _, _, ok := h.CanAct(now, "x"); return ok }
	if h.Renewal(0) != nil || h.GiveUp("x", false) != nil {
		t.Error("something is held at first")
	}
	h.Offered(100, Grant{"x", 3})
	if may(100) {
		t.Error("it acts on an offer alone")
	}
	r := h.Renewal(100)
	if r == nil || h.Renewal(101) != nil || h.Next(101) != 300 {
		t.Fatal("renewals come too often, or none does")
	}
	h.Renewed(500, r.Sequence+1, r.Grants) // one that was never asked for
	if may(500) {
		t.Error("it acts on a word that it did not ask for")
	}
	h.Renewed(500, r.Sequence, []Grant{{"x", 2}})
	if may(500) {
		t.Error("it acts in another epoch")
	}
	r = h.Renewal(500)
	h.Renewed(900, r.Sequence, r.Grants)
	if !may(900) || !may(1199) || may(1200) {
		t.Error("it may act from the answer until 0.7 leases after it asked")
	}
	if began, _ := h.Turns(900); len(began) != 1 || began[0] != (Grant{"x", 3}) {
		t.Errorf("began %v", began)
	}
	h.Renewed(1000, r.Sequence, r.Grants) // once more
	if may(1200) {
		t.Error("one answer counts twice")
	}
	h.Offered(1000, Grant{"x", 2})
	if !may(1000) {
		t.Error("an old offer takes it away")
	}
	if _, ended := h.Turns(1200); len(ended) != 1 || h.Renewal(1300) != nil {
		t.Errorf("ended %v", ended)
	}
	h.Offered(2000, Grant{"x", 4})
	r = h.Renewal(2000)
	h.Renewed(2800, r.Sequence, r.Grants) // too late to be of use
	if began, _ := h.Turns(2800); may(2800) || began != nil {
		t.Error("it begins on an answer whose time is over")
	}
	r = h.Renewal(2800)
	h.Renewed(2801, r.Sequence, r.Grants)
	if rel := h.GiveUp("x", true); rel == nil || !rel.Failed || rel.Grant != (Grant{"x", 4}) || may(2802) {
		t.Error("given up and still held")
	}
	h.Offered(3000, Grant{"x", 6})
	r = h.Renewal(3000)
	h.Renewed(3000, r.Sequence, r.Grants)
	if h.Refused(Grant{"x", 5}); !may(3000) {
		t.Error("a word of an old claim takes it away")
	}
	if h.Refused(Grant{"x", 6}); may(3000) {
		t.Error("refused and still held")
	}
	for i := range 2 * maxLeases {
		h.Offered(4000, Grant{Name(fmt.Sprint(i)), 1})
	}
	if r := h.Renewal(4000); len(r.Grants) > maxLeases {
		t.Errorf("%d claims", len(r.Grants))
	}
}

// The margins hold for clocks that run 40% apart: what a holder counts is over before what the quorum counts.
func TestMargins(t *testing.T) {
	terms := Terms{Lease: 1000}
	const owner, council = 0.82, 1.18 // rates
	if terms.HoldsFor()/owner >= terms.FreeAfter()/council {
		t.Errorf("an owner whose clock is slow holds for %.0f, the council whose clock is fast gives after %.0f",
			terms.HoldsFor()/owner, terms.FreeAfter()/council)
	}
	if 3*terms.RenewEach() >= terms.HoldsFor() {
		t.Error("two lost renewals end an owner")
	}
}

func TestGate(t *testing.T) {
	g := NewFencingCheck(map[Name]Token{"kept": 5})
	for i, c := range []struct {
		work      Name
		epoch     Token
		ok, risen bool
	}{{"x", 2, true, true}, {"x", 2, true, false}, {"x", 1, false, false}, {"x", 3, true, true}, {"x", 2, false, false}, {"x", 0, false, false},
		{"y", 0, false, false}, {"kept", 4, false, false}, {"kept", 5, true, false}} {
		if ok, risen := g.Pass(c.work, c.epoch); ok != c.ok || risen != c.risen {
			t.Errorf("%d: %v, %v", i, ok, risen)
		}
	}
	if g.Raise("x", 9); g.Seen()["x"] != 9 {
		t.Error("not raised")
	}
	if g.Raise("x", 4); g.Seen()["x"] != 9 {
		t.Error("lowered")
	}
	for i := range 2 * maxLeases {
		g.Pass(Name(fmt.Sprint(i)), 1)
		g.Raise(Name(fmt.Sprint("r", i)), 1)
	}
	if len(g.Seen()) > maxLeases {
		t.Errorf("%d works are kept", len(g.Seen()))
	}
}

// What mutants showed that nothing else did.
func TestSmallPrint(t *testing.T) {
	terms := Terms{Lease: 1000}
	s := named(a)
	s.Apply(Command{Prefer: &Prefer{"x", "b"}})
	if s.Apply(Command{Assign: &Assign{Name: "x", Renewal: 1, To: b}}); s.Leases["x"].Preferred != "" {
		t.Error("an operator's word stands after it was done")
	}

	s = named(a)
	st := NewManager(terms, 0)
	failed := Command{Release: &Release{Holder: a, Grant: Grant{"x", 1}, Failed: true}}
	st.Applied(100, failed, s.Apply(failed))
	if got := gives(st.Decide(101+unconfirmedBackoff, s, all("a"))); got != "y:a " {
		t.Errorf("who failed rests no longer than who gave up: %q", got)
	}

	s = &State{} // who has least gets the next, whatever the draw says
	s.Apply(Command{Declare: &Declare{Names: []Name{"p", "q", "r", "s", "t", "u"}}})
	got := map[members.ID]int{}
	for _, c := range NewManager(terms, 0).Decide(0, s, all("a", "b", "c")) {
		got[c.Assign.To.ID]++
	}
	if got["a"] != 2 || got["b"] != 2 || got["c"] != 2 {
		t.Errorf("six works go to %v", got)
	}
	s = &State{} // and so it does if the others are held already
	s.Apply(Command{Declare: &Declare{Names: []Name{"p", "q", "r"}}})
	s.Apply(Command{Assign: &Assign{Name: "p", To: a}})
	s.Apply(Command{Assign: &Assign{Name: "q", To: b}})
	s.Apply(Command{Renew: &Renew{Holder: a, Grants: []Grant{{"p", 1}}}})
	if got := gives(NewManager(terms, 0).Decide(0, s, all("a", "b", "c"))); got != "r:c " {
		t.Errorf("two have one each: %q", got)
	}

	s = &State{} // two that do not take it up, one after the other: the third has it, not the first again
	s.Apply(Command{Declare: &Declare{Names: []Name{"p"}}})
	st = NewManager(terms, 0)
	to := map[members.ID]bool{}
	for i, now := 0, 0.0; i < 3; i, now = i+1, now+1500 {
		for _, c := range st.Decide(now, s, all("a", "b", "c")) {
			if to[c.Assign.To.ID] {
				t.Errorf("%s is given it again", c.Assign.To.ID)
			}
			to[c.Assign.To.ID] = true
			st.Applied(now, c, s.Apply(c))
		}
	}
	if len(to) != 3 {
		t.Errorf("it went to %v", to)
	}

	h := NewClient(a, terms)
	h.Offered(0, Grant{"x", 1})
	r := h.Renewal(0)
	h.Renewed(1, r.Sequence, r.Grants)
	if n := h.Next(1); n != 200 {
		t.Errorf("next at %g", n)
	}
	h.renewAt = 900 // it waits for something else: the end of what it has must not be slept through
	if n := h.Next(1); n != terms.HoldsFor() {
		t.Errorf("next at %g, its claim ends at %g", n, terms.HoldsFor())
	}
	h.Turns(1)
	h.Offered(2, Grant{"x", 2})
	if _, ended := h.Turns(2); len(ended) != 1 || ended[0] != (Grant{"x", 1}) {
		t.Errorf("another epoch of its own begins, and of the first is told %v", ended)
	}
	if held := h.Held(2); held != nil {
		t.Errorf("it acts for %v", held)
	}
	if n := NewClient(a, terms).Next(7); n != 1007 {
		t.Errorf("one that has nothing is to be asked at %g", n)
	}
	for i := range 10000 {
		h.Hurry(float64(i))
		h.Renewal(float64(i))
	}
	if len(h.sentAt) > 1100 {
		t.Errorf("%d renewals are waited for", len(h.sentAt))
	}
}
