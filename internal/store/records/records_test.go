package records

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

// The machine crashes at some operation in the life of a log, and what was not synced is lost, torn
// or reordered. A new Open then returns every record for which Append or Replace had returned, in
// order, and besides at most the one that was being written.
func TestCrashAtEveryOperation(t *testing.T) {
	crashes := 0
	for seed := range int64(20) {
		rng := rand.New(rand.NewSource(seed))
		d := disktest.New()
		var durable []string // records for which Append or Replace has returned
		next, pending := 0, ""
		checkCrash := func(int) {
			for _, mode := range disktest.CrashModes() {
				crashes++
				after := d.AfterCrash(mode, rng)
				l, recovered, err := Open(after, DefaultBounds())
				if err != nil {
					t.Fatalf("seed %d, crash mode %v after %d: %v", seed, mode, next, err)
				}
				l.Close()
				texts := []string{}
				for _, b := range recovered.Records {
					texts = append(texts, string(b))
					if b[0] == 'W' { // it replaces all before it
						texts = texts[len(texts)-1:]
					}
				}
				want := fmt.Sprint(durable)
				wantWithPending := fmt.Sprint(append(append([]string{}, durable...), pending))
				wantReplaced := fmt.Sprint([]string{pending})
				if got := fmt.Sprint(texts); got != want && got != wantWithPending && got != wantReplaced {
					t.Fatalf("seed %d, crash mode %v: found %v, owed %v, writing %q",
						seed, mode, got, want, pending)
				}
			}
		}
		l, _, err := Open(d, DefaultBounds())
		if err != nil {
			t.Fatal(err)
		}
		d.OnOperation(checkCrash)
		for range 25 {
			next++
			switch rng.Intn(6) {
			case 0:
				pending = fmt.Sprintf("W%d", next)
				if err := l.Replace([]byte(pending)); err != nil {
					t.Fatal(err)
				}
				durable = []string{pending}
			case 1:
				l.Close()
				if l, _, err = Open(d, DefaultBounds()); err != nil {
					t.Fatal(err)
				}
			default:
				pending = fmt.Sprintf("r%d %s", next, make([]byte, rng.Intn(100)))
				if err := l.Append([]byte(pending)); err != nil {
					t.Fatal(err)
				}
				durable = append(durable, pending)
			}
			pending = ""
		}
		d.OnOperation(nil)
		l.Close()
	}
	t.Logf("%d crashes", crashes)
}

// A byte of a log's file changes, or the file is cut. Open then fails, or reports a torn tail; it
// never returns a record with other content.
func TestChangedBytesAreNoticed(t *testing.T) {
	d := disktest.New()
	l, _, _ := Open(d, DefaultBounds())
	for i := range 4 {
		l.Append(fmt.Append(nil, "record ", i))
	}
	l.Close()
	const name = "records-0000000000000001"
	content := d.Get(name)
	for at := range content {
		damaged := append([]byte{}, content...)
		damaged[at] ^= 1 << (at % 8)
		damagedDisk := disktest.New()
		damagedDisk.Put(name, damaged)
		_, recovered, err := Open(damagedDisk, DefaultBounds())
		if err == nil && !recovered.TornTail {
			t.Fatalf("byte %d: taken as whole: %q", at, recovered.Records)
		}
		for i, b := range recovered.Records {
			if string(b) != fmt.Sprint("record ", i) {
				t.Fatalf("byte %d: record %d is %q", at, i, b)
			}
		}
	}
	for cut := range content {
		cutDisk := disktest.New()
		cutDisk.Put(name, content[:cut])
		if _, recovered, err := Open(cutDisk, DefaultBounds()); err != nil || len(recovered.Records) > 3 {
			t.Fatalf("cut at %d: %d records, %v", cut, len(recovered.Records), err)
		}
	}
}

// An append fails: the log accepts nothing more, as the record may be there or not. A log is
// damaged: it accepts only a record that replaces all, and its files are kept under another name.
func TestFailedAndDamagedLogs(t *testing.T) {
	d := disktest.New()
	l, _, _ := Open(d, DefaultBounds())
	l.Append([]byte("one"))
	l.Append([]byte("two"))
	if _, _, err := Open(d, DefaultBounds()); !errors.Is(err, disk.ErrLocked) {
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
	const name = "records-0000000000000001"
	damaged := d.Get(name)
	damaged[len(magic)+20] ^= 1
	damagedDisk := disktest.New()
	damagedDisk.Put(name, damaged)
	l, _, err := Open(damagedDisk, DefaultBounds())
	if !errors.Is(err, ErrDamaged) || l.Append([]byte("x")) == nil {
		t.Fatalf("a damaged log is appended to: %v", err)
	}
	if err := l.Replace([]byte("anew")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if damagedDisk.Get(damagedPrefix+name) == nil {
		t.Error("the damaged file is not put aside")
	}
	_, recovered, err := Open(damagedDisk, DefaultBounds())
	if err != nil || len(recovered.Records) != 1 || string(recovered.Records[0]) != "anew" {
		t.Errorf("%q, %v", recovered.Records, err)
	}
}
