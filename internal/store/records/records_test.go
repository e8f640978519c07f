package records

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

// The machine crashes at any operation on a log, and unsynced changes are lost, torn or reordered. A
// new Open then returns every record for which Append or Replace had returned, in order, and at most
// the record that was being written in addition.
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
					t.Fatalf("seed %d, crash mode %v at record %d: Open: %v", seed, mode, next, err)
				}
				l.Close()
				texts := []string{}
				for _, b := range recovered.Records {
					texts = append(texts, string(b))
					if b[0] == 'W' { // a replacing record
						texts = texts[len(texts)-1:]
					}
				}
				want := fmt.Sprint(durable)
				wantWithPending := fmt.Sprint(append(append([]string{}, durable...), pending))
				wantReplaced := fmt.Sprint([]string{pending})
				if got := fmt.Sprint(texts); got != want && got != wantWithPending && got != wantReplaced {
					t.Fatalf("seed %d, crash mode %v: Open returned %v, want %v and perhaps %q",
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

// A bit of a log's file is flipped, or the file is truncated. Open then fails or drops the end of the
// file; it never returns a record with other content.
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
			t.Fatalf("byte %d changed: Open returned %q and neither an error nor a torn tail", at, recovered.Records)
		}
		for i, b := range recovered.Records {
			if string(b) != fmt.Sprint("record ", i) {
				t.Fatalf("byte %d changed: record %d is %q", at, i, b)
			}
		}
	}
	for cut := range content {
		cutDisk := disktest.New()
		cutDisk.Put(name, content[:cut])
		if _, recovered, err := Open(cutDisk, DefaultBounds()); err != nil || len(recovered.Records) > 3 {
			t.Fatalf("file cut at byte %d: Open returned %d records, %v; want at most 3 and no error", cut, len(recovered.Records), err)
		}
	}
}

// After a failed append a log accepts nothing more, as the record may be stored or not. A damaged log
// accepts only a replacing record, and its files are kept under another name.
func TestFailedAndDamagedLogs(t *testing.T) {
	d := disktest.New()
	l, _, _ := Open(d, DefaultBounds())
	l.Append([]byte("one"))
	l.Append([]byte("two"))
	if _, _, err := Open(d, DefaultBounds()); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second Open returned %v, want ErrLocked", err)
	}
	reached := d.FailFrom(1, errors.New("broken"))
	if l.Append([]byte("three")) == nil || !reached() {
		t.Error("Append returned no error, or the disk did not fail")
	}
	if l.Append([]byte("four")) == nil || l.Replace([]byte("all")) == nil {
		t.Error("Append or Replace returned no error after a failed append")
	}
	l.Close()
	const name = "records-0000000000000001"
	damaged := d.Get(name)
	damaged[len(magic)+20] ^= 1
	damagedDisk := disktest.New()
	damagedDisk.Put(name, damaged)
	l, _, err := Open(damagedDisk, DefaultBounds())
	if !errors.Is(err, ErrDamaged) || l.Append([]byte("x")) == nil {
		t.Fatalf("Open of a damaged log returned %v, want ErrDamaged, and Append must fail", err)
	}
	if err := l.Replace([]byte("anew")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if damagedDisk.Get(damagedPrefix+name) == nil {
		t.Error("Replace did not keep the damaged file under another name")
	}
	_, recovered, err := Open(damagedDisk, DefaultBounds())
	if err != nil || len(recovered.Records) != 1 || string(recovered.Records[0]) != "anew" {
		t.Errorf("Open after Replace returned %q, %v; want only the replacing record", recovered.Records, err)
	}
}
