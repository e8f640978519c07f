package rules

import (
	"slices"
	"testing"

	"mintkeel/match"
	"mintkeel/router"
)

// keyed is a set that gives all loads one key, by its name.
func keyed(t *testing.T, name string) *Set {
	return compile(t, Rule{Name: name, Key: `"` + name + `"`})
}

// A set is followed until the queries that arrived under it have ended, and for as long as what they left may
// run on.
func TestEpochsAreFollowed(t *testing.T) {
	e := Epochs{OrderingCooldown: 300}
	load := &Query{Class: 2, OrderingKey: "own"}
	begin := func(now float64, s *Set, want bool) {
		t.Helper()
		if ok, _ := e.PutInForce(now, s, 1); ok != want {
			t.Errorf("at %g: put in force is %v", now, ok)
		}
	}
	take := func(now float64, key router.OrderingKey, also ...router.OrderingKey) Epoch {
		t.Helper()
		n, k, a := e.QueryArrived(now, load)
		if k != key || !slices.Equal(a, also) {
			t.Errorf("at %g: key %s, also %v, not %s, also %v", now, k, a, key, also)
		}
		return n
	}
	one := take(0, "own")
	begin(10, keyed(t, "a"), true)
	two := take(20, "a", "own")
	e.QueryEnded(100, one)
	three := take(350, "a", "own") // what one left may run until 400
	four := take(400, "a")
	begin(410, keyed(t, "b"), true)
	e.QueryEnded(500, two)
	e.QueryEnded(500, three)
	e.QueryEnded(500, four)
	five := take(799, "b", "a")
	six := take(800, "b")
	begin(810, keyed(t, "c"), true)
	begin(820, keyed(t, "c"), true) // the same again
	begin(830, nil, true)
	begin(840, keyed(t, "d"), true)
	begin(850, keyed(t, "e"), false)
	e.QueryEnded(900, five)
	e.QueryEnded(900, six)
	begin(1199, keyed(t, "e"), false)
	begin(1200, keyed(t, "e"), true)
	if e.Count() != 1 {
		t.Errorf("%d sets are followed", e.Count())
	}
}

// Sets without keys replace each other in one epoch, and too many queries in flight do not get new keys in
// one step.
func TestOnlySetsWithKeysBeginAnEpoch(t *testing.T) {
	e := Epochs{}
	hot := compile(t, Rule{Name: "a", Hot: true})
	for range 3 * maxEpochs {
		e.QueryArrived(0, &Query{Class: 2})
		if ok, rekey := e.PutInForce(0, hot, 1e9); !ok || rekey {
			t.Errorf("put in force is %v, to be keyed anew %v", ok, rekey)
		}
		if ok, rekey := e.PutInForce(0, nil, 1e9); !ok || rekey {
			t.Errorf("put in force is %v, to be keyed anew %v", ok, rekey)
		}
	}
	dear, problems := Compile([]Rule{{Name: "a", When: `application like "*a*b*c*d*"`, Key: `"k"`}}, facts, match.DefaultBounds())
	if dear != nil || problems == nil {
		t.Error("a key by what a retry changes")
	}
	if ok, _ := e.PutInForce(0, keyed(t, "k"), maxRekeySteps); ok {
		t.Error("millions of commands are keyed anew in one step")
	}
	if ok, rekey := e.PutInForce(0, keyed(t, "k"), 10); !ok || !rekey {
		t.Error("ten are not")
	}
}
