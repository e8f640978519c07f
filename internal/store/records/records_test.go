package records

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

// TestStops has the machine stop at each operation of a log's life, in each way in which a disk may treat what was not
// synced: what Append kept is there, in order, and nothing but what was appended.
func TestStops(t *testing.T) {
	stops := 0
	for seed := range int64(20) {
		rng := rand.New(rand.NewSource(seed))
		d := disktest.New()
		var kept []string // what is owed
		next, writing := 0, ""
		look := func(int) {
			for _, how := range disktest.CrashModes() {
				stops++
				after := d.AfterCrash(how, rng)
				l, found, _, err := Open(after, DefaultBounds())
				if err != nil {
					t.Fatalf("seed %d, %v after %d: %v", seed, how, next, err)
				}
				l.Close()
				texts := []string{}
				for _, b := range found {
					if texts = append(texts, string(b)); b[0] == 'W' { // a whole one stands for all before it
						texts = texts[len(texts)-1:]
					}
				}
				owed := fmt.Sprint(kept)
				with := fmt.Sprint(append(append([]string{}, kept...), writing))
				if got := fmt.Sprint(texts); got != owed && got != with && got != fmt.Sprint([]string{writing}) {
					t.Fatalf("seed %d, way %v: found %v, owed %v, writing %q", seed, how, got, owed, writing)
				}
			}
		}
		l, _, _, err := Open(d, DefaultBounds())
		if err != nil {
			t.Fatal(err)
		}
		d.OnOperation(look)
		for range 25 {
			next++
			switch rng.Intn(6) {
			case 0:
				writing = fmt.Sprintf("W%d", next)
				if err := l.Replace([]byte(writing)); err != nil {
					t.Fatal(err)
				}
				kept = []string{writing}
			case 1:
				l.Close()
				if l, _, _, err = Open(d, DefaultBounds()); err != nil {
					t.Fatal(err)
				}
			default:
				writing = fmt.Sprintf("r%d %s", next, make([]byte, rng.Intn(100)))
				if err := l.Append([]byte(writing)); err != nil {
					t.Fatal(err)
				}
				kept = append(kept, writing)
			}
			writing = ""
		}
		d.OnOperation(nil)
		l.Close()
	}
	t.Logf("%d stops", stops)
}

// A log of which a byte has changed is never read as another: it is damaged, or its end is missing.
func TestDamage(t *testing.T) {
	d := disktest.New()
	l, _, _, _ := Open(d, DefaultBounds())
	for i := range 4 {
		l.Append(fmt.Append(nil, "record ", i))
	}
	l.Close()
	name := fmt.Sprintf("%s%016x", prefix, 1)
	whole := d.Get(name)
	for at := range whole {
		bad := append([]byte{}, whole...)
		bad[at] ^= 1 << (at % 8)
		other := disktest.New()
		other.Put(name, bad)
		_, found, torn, err := Open(other, DefaultBounds())
		if err == nil && !torn {
			t.Fatalf("byte %d: taken as whole: %q", at, found)
		}
		for i, b := range found {
			if string(b) != fmt.Sprint("record ", i) {
				t.Fatalf("byte %d: record %d is %q", at, i, b)
			}
		}
	}
	for cut := range whole {
		other := disktest.New()
		other.Put(name, whole[:cut])
		if _, found, _, err := Open(other, DefaultBounds()); err != nil || len(found) > 3 {
			t.Fatalf("cut at %d: %d records, %v", cut, len(found), err)
		}
	}
}

// A damaged log takes nothing but a new whole, and its files are put aside; after a failure nothing is appended.
func TestFailures(t *testing.T) {
	d := disktest.New()
	l, _, _, _ := Open(d, DefaultBounds())
	l.Append([]byte("one"))
	l.Append([]byte("two"))
	if _, _, _, err := Open(d, DefaultBounds()); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second process opens it: %v", err)
	}
	reached := d.FailFrom(1, errors.New("broken"))
	if l.Append([]byte("three")) == nil || !reached() {
		t.Error("a failed append is taken as kept")
	}
	if l.Append([]byte("four")) == nil || l.Replace([]byte("all")) == nil {
		t.Error("something is kept after a failure")
	}
	l.Close()
	name := fmt.Sprintf("%s%016x", prefix, 1)
	bad := d.Get(name)
	bad[len(magic)+20] ^= 1
	other := disktest.New()
	other.Put(name, bad)
	l, _, _, err := Open(other, DefaultBounds())
	if !errors.Is(err, ErrDamaged) || l.Append([]byte("x")) == nil {
		t.Fatalf("a damaged log is appended to: %v", err)
	}
	if err := l.Replace([]byte("anew")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if other.Get(aside+name) == nil {
		t.Error("the damaged file is not put aside")
	}
	if _, found, _, err := Open(other, DefaultBounds()); err != nil || len(found) != 1 || string(found[0]) != "anew" {
		t.Errorf("%q, %v", found, err)
	}
}
