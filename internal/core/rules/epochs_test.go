package rules

import (
	"slices"
	"testing"

	"mintkeel/match"
	"mintkeel/router"
)

// setWithKey returns a set that gives all loads the same ordering key, the given name.
func setWithKey(t *testing.T, name string) *Set {
	return compile(t, Rule{Name: name, Key: `"` + name + `"`})
}

// A set must be followed until the queries that arrived under it have ended, and for as long as their abandoned
// attempts may keep running.
func TestEpochsAreFollowed(t *testing.T) {
	e := Epochs{OrderingCooldown: 300}
	load := &Query{Class: 2, OrderingKey: "own"}
	putInForce := func(now float64, s *Set, want bool) {
		t.Helper()
		if ok, _ := e.PutInForce(now, s, 1); ok != want {
			t.Errorf("at %g: PutInForce returns %v, want the opposite", now, ok)
		}
	}
	arrive := func(now float64, key router.OrderingKey, older ...router.OrderingKey) Epoch {
		t.Helper()
		number, gotKey, more := e.QueryArrived(now, load)
		if gotKey != key || !slices.Equal(more, older) {
			t.Errorf("at %g: key %s and older keys %v, want %s and %v", now, gotKey, more, key, older)
		}
		return number
	}
	one := arrive(0, "own")
	putInForce(10, setWithKey(t, "a"), true)
	two := arrive(20, "a", "own")
	e.QueryEnded(100, one)
	three := arrive(350, "a", "own") // abandoned attempts of the first query may run until 400
	four := arrive(400, "a")
	putInForce(410, setWithKey(t, "b"), true)
	e.QueryEnded(500, two)
	e.QueryEnded(500, three)
	e.QueryEnded(500, four)
	five := arrive(799, "b", "a")
	six := arrive(800, "b")
	putInForce(810, setWithKey(t, "c"), true)
	putInForce(820, setWithKey(t, "c"), true) // the same again
	putInForce(830, nil, true)
	putInForce(840, setWithKey(t, "d"), true)
	putInForce(850, setWithKey(t, "e"), false)
	e.QueryEnded(900, five)
	e.QueryEnded(900, six)
	putInForce(1199, setWithKey(t, "e"), false)
	putInForce(1200, setWithKey(t, "e"), true)
	if e.Count() != 1 {
		t.Errorf("%d sets are followed, want 1", e.Count())
	}
}

// Sets without ordering keys replace each other within one epoch. A set with keys is rejected if too many queries
// in flight would have to get new keys in one step.
func TestOnlySetsWithKeysBeginAnEpoch(t *testing.T) {
	e := Epochs{}
	hot := compile(t, Rule{Name: "a", Hot: true})
	for range 3 * maxEpochs {
		e.QueryArrived(0, &Query{Class: 2})
		if ok, rekey := e.PutInForce(0, hot, 1e9); !ok || rekey {
			t.Errorf("a set without keys: in force %v, new keys %v; want true, false", ok, rekey)
		}
		if ok, rekey := e.PutInForce(0, nil, 1e9); !ok || rekey {
			t.Errorf("a set without keys: in force %v, new keys %v; want true, false", ok, rekey)
		}
	}
	set, problems := Compile([]Rule{{Name: "a", When: `application like "*a*b*c*d*"`, Key: `"k"`}}, facts, match.DefaultBounds())
	if set != nil || problems == nil {
		t.Error("a key whose condition may differ in a retry is accepted")
	}
	if ok, _ := e.PutInForce(0, setWithKey(t, "k"), maxRekeySteps); ok {
		t.Error("millions of queries would get new keys in one step")
	}
	if ok, rekey := e.PutInForce(0, setWithKey(t, "k"), 10); !ok || !rekey {
		t.Error("ten queries in flight are not to get new keys")
	}
}
