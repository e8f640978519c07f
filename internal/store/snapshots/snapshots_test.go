package snapshots

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

var small = Bounds{Section: 1 << 10, Sections: 8, File: 8 << 10}

// content is what is kept: each section says which snapshot it is of.
func content(serial int) []Section {
	var all []Section
	for i := range 3 {
		all = append(all, Section{Kind(i + 1), bytes.Repeat([]byte{byte(serial), byte(i)}, 20+10*i)})
	}
	return all
}

func write(f *Folder, sections []Section) error {
	_, err := f.Write(func(add func(Kind, []byte) error) error {
		for _, s := range sections {
			if err := add(s.Kind, s.Payload); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

func read(d disk.Disk, name string) (all []Section, serial uint64, err error) {
	serial, err = Read(d, name, small, func(s Section) error {
		all = append(all, Section{s.Kind, slices.Clone(s.Payload)})
		return nil
	})
	return all, serial, err
}

func same(a, b []Section) bool {
	return slices.EqualFunc(a, b, func(a, b Section) bool { return a.Kind == b.Kind && bytes.Equal(a.Payload, b.Payload) })
}

// newest is the first file that is whole, as a reader would take it; 0: there is none.
func newest(t *testing.T, d disk.Disk) int {
	t.Helper()
	files, err := Files(d)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if got, _, err := read(d, f.Name); err == nil {
			for serial := range 10 {
				if same(got, content(serial)) {
					return serial
				}
			}
			t.Fatalf("%s is read as whole, and holds what was never written", f.Name)
		}
	}
	return 0
}

func open(t *testing.T, d disk.Disk) *Folder {
	t.Helper()
	f, err := Open(d, small)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Snapshots follow each other, two are kept, and another process goes on from them.
func TestWriteAndRead(t *testing.T) {
	path := t.TempDir()
	for _, d := range []disk.Disk{disktest.New(), disk.Folder(path)} {
		f := open(t, d)
		if _, err := Open(d, small); !errors.Is(err, disk.ErrLocked) {
			t.Errorf("%T: a second process has the folder too: %v", d, err)
		}
		for serial := 1; serial <= 4; serial++ {
			if err := write(f, content(serial)); err != nil {
				t.Fatal(err)
			}
			if files, _ := Files(d); newest(t, d) != serial || len(files) != min(serial, kept) {
				t.Errorf("%T: %v after %d", d, files, serial)
			}
		}
		f.Close()
		f = open(t, d)
		if err := write(f, content(5)); err != nil || newest(t, d) != 5 {
			t.Errorf("%T: another process goes on with %d, %v", d, newest(t, d), err)
		}
		if err := f.Clear(); err != nil || newest(t, d) != 0 {
			t.Errorf("%T: cleared, but %d is there, %v", d, newest(t, d), err)
		}
		f.Close()
	}
}

// A machine that stops at any operation of a write, with any treatment of what was not synced, leaves the snapshot
// before or the new one, whole; once a write has returned, the new one. The next process goes on.
func TestStopAtEveryPoint(t *testing.T) {
	points := 0
	for _, how := range disktest.CrashModes() {
		for seed := range int64(8) {
			d, rng := disktest.New(), rand.New(rand.NewSource(seed))
			f := open(t, d)
			done := 0
			for serial := 1; serial <= 4; serial++ {
				d.OnOperation(func(op int) {
					points++
					after := d.AfterCrash(how, rng)
					if got := newest(t, after); got < done || got > serial {
						t.Fatalf("way %d, operation %d: %d is found, %d was kept, %d was being written", how, op, got,
							done, serial)
					}
					if g := open(t, after); write(g, content(9)) != nil || newest(t, after) != 9 {
						t.Fatalf("way %d, operation %d: the next process can't go on", how, op)
					}
				})
				if err := write(f, content(serial)); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				if done = serial; newest(t, d.AfterCrash(how, rng)) != serial {
					t.Fatalf("way %d: %d was written, %d is found", how, serial, newest(t, d.AfterCrash(how, rng)))
				}
			}
		}
	}
	if points < 1500 {
		t.Errorf("only %d points", points)
	}
}

// A file cut at any byte, with any bit turned, or with anything behind its end is never taken for whole, and never
// hands on a section that was not written.
func TestDamage(t *testing.T) {
	d := disktest.New()
	f := open(t, d)
	if err := write(f, content(1)); err != nil {
		t.Fatal(err)
	}
	const name = "snapshot-0000000000000001"
	whole := d.Get(name)
	try := func(what string, file []byte) {
		t.Helper()
		d.Put(name, file)
		got, _, err := read(d, name)
		if err == nil {
			t.Errorf("%s: taken for whole", what)
		}
		for _, s := range got {
			if !slices.ContainsFunc(content(1), func(w Section) bool { return same([]Section{w}, []Section{s}) }) {
				t.Errorf("%s: hands on what was not written", what)
			}
		}
	}
	for n := range whole {
		try(fmt.Sprint("cut at ", n), whole[:n])
		for bit := range 8 {
			turned := slices.Clone(whole)
			turned[n] ^= 1 << bit
			try(fmt.Sprint("bit ", bit, " of ", n), turned)
		}
	}
	try("something behind the end", append(slices.Clone(whole), 0))
	try("twice", append(slices.Clone(whole), whole...))
	turned := slices.Clone(whole)
	turned[headBytes+partBytes+3] ^= 1
	d.Put(name, turned)
	if got, _, _ := read(d, name); !same(got, content(1)[1:]) {
		t.Errorf("one section damaged: %d are left", len(got))
	}
	other := content(1)
	other[0], other[1] = other[1], other[0]
	d.Put(name, whole)
	if err := write(f, other); err != nil {
		t.Fatal(err)
	}
	second := d.Get("snapshot-0000000000000002")
	mixed := slices.Concat(second[:headBytes], whole[headBytes:])
	try("the head of another file", mixed)
}

// What a file claims costs no more than the bounds, and what is no snapshot of ours is told as such.
func TestForeignFiles(t *testing.T) {
	head := func(version uint16) []byte {
		b := binary.BigEndian.AppendUint16([]byte(magic), version)
		b = binary.BigEndian.AppendUint64(b, 1)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	}
	claims := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(head(Version), 1), 1<<31)
	for _, c := range []struct {
		name string
		file []byte
		want error
	}{
		{"empty", nil, ErrNotSnapshot},
		{"another program's", []byte("SQLite format 3\x00 and more than a head of it"), ErrNotSnapshot},
		{"a newer version's", head(Version + 1), ErrVersion},
		{"a section of 2 GB", append(claims, make([]byte, 100)...), ErrDamaged},
		{"past the bound", make([]byte, small.File+1), ErrTooLarge},
		{"zeros", make([]byte, small.File), ErrNotSnapshot},
	} {
		d := disktest.New()
		d.Put("snapshot-0000000000000001", c.file)
		if _, _, err := read(d, "snapshot-0000000000000001"); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		if f := open(t, d); write(f, content(2)) != nil || newest(t, d) != 2 {
			t.Errorf("%s: nothing can be kept beside it", c.name)
		}
	}
	path := t.TempDir()
	big, err := os.Create(filepath.Join(path, "snapshot-00000000000000ff"))
	if err != nil {
		t.Fatal(err)
	}
	big.Truncate(1 << 30)
	big.Close()
	if _, _, err := read(disk.Folder(path), "snapshot-00000000000000ff"); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a file of 1 GB: %v", err)
	}
	if err := os.Mkdir(filepath.Join(path, "snapshot-00000000000000fe"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, _, err := read(disk.Folder(path), "snapshot-00000000000000fe"); err == nil {
		t.Error("a folder is read as a file")
	}
	for _, name := range []string{"", ".", "..", "../x", "a/b"} {
		if _, err := disk.Folder(path).Create(name); err == nil {
			t.Errorf("%q is created", name)
		}
	}
}

// A disk that is full or fails leaves what was there, and takes writes again when it is well.
func TestFullDisk(t *testing.T) {
	d := disktest.New()
	f := open(t, d)
	if err := write(f, content(1)); err != nil {
		t.Fatal(err)
	}
	size := len(d.Get("snapshot-0000000000000001"))
	for left := range size {
		d.Fill(left)
		if err := write(f, content(2)); err == nil {
			t.Fatalf("%d bytes of room: written", left)
		}
		if newest(t, d) != 1 {
			t.Fatalf("%d bytes of room: the old one is gone", left)
		}
	}
	d.Fill(-1)
	for op := 1; ; op++ {
		reached := d.FailFrom(op, io.ErrClosedPipe)
		err := write(f, content(2))
		failed := reached()
		if got := newest(t, d); got != 1 && got != 2 || err == nil && got != 2 {
			t.Fatalf("fails from operation %d: %v, %d is there", op, err, got)
		}
		if !failed {
			break
		}
	}
	if err := write(f, content(3)); err != nil || newest(t, d) != 3 {
		t.Errorf("well again: %v, %d is there", err, newest(t, d))
	}
}

// What would not be read is not written.
func TestBounds(t *testing.T) {
	f := open(t, disktest.New())
	for name, sections := range map[string][]Section{
		"a section too long": {{1, make([]byte, small.Section+1)}},
		"too many sections":  slices.Repeat([]Section{{1, nil}}, small.Sections+1),
		"a file too long":    slices.Repeat([]Section{{1, make([]byte, small.Section)}}, small.Sections),
		"the kind of an end": {{0, nil}},
	} {
		if err := write(f, sections); err == nil {
			t.Errorf("%s is written", name)
		}
	}
}
