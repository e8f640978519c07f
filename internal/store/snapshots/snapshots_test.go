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

var testBounds = Bounds{Section: 1 << 10, Sections: 8, File: 8 << 10}

// testSections returns sections that say which snapshot they belong to.
func testSections(serial int) []Section {
	var sections []Section
	for i := range 3 {
		sections = append(sections, Section{SectionKind(i + 1), bytes.Repeat([]byte{byte(serial), byte(i)}, 20+10*i)})
	}
	return sections
}

func write(f *Folder, sections []Section) error {
	_, err := f.Write(func(add func(SectionKind, []byte) error) error {
		for _, s := range sections {
			if err := add(s.Kind, s.Payload); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

func read(d disk.Disk, name string) (sections []Section, err error) {
	_, err = Read(d, name, testBounds, func(s Section) error {
		sections = append(sections, Section{s.Kind, slices.Clone(s.Payload)})
		return nil
	})
	return sections, err
}

func equalSections(a, b []Section) bool {
	return slices.EqualFunc(a, b, func(a, b Section) bool {
		return a.Kind == b.Kind && bytes.Equal(a.Payload, b.Payload)
	})
}

// newestReadable is the number of the newest snapshot that can be read whole, as a reader would choose it;
// 0: there is none.
func newestReadable(t *testing.T, d disk.Disk) int {
	t.Helper()
	files, err := Files(d)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if got, err := read(d, f.Name); err == nil {
			for serial := range 10 {
				if equalSections(got, testSections(serial)) {
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
	f, err := Open(d, testBounds)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Snapshots are written one after another: two are retained, and another process continues from them.
func TestProcessesContinueOneSeries(t *testing.T) {
	path := t.TempDir()
	for _, d := range []disk.Disk{disktest.New(), disk.Folder(path)} {
		f := open(t, d)
		if _, err := Open(d, testBounds); !errors.Is(err, disk.ErrLocked) {
			t.Errorf("%T: a second process has the folder too: %v", d, err)
		}
		for serial := 1; serial <= 4; serial++ {
			if err := write(f, testSections(serial)); err != nil {
				t.Fatal(err)
			}
			if files, _ := Files(d); newestReadable(t, d) != serial || len(files) != min(serial, retainedFiles) {
				t.Errorf("%T: %v after %d", d, files, serial)
			}
		}
		f.Close()
		f = open(t, d)
		if err := write(f, testSections(5)); err != nil || newestReadable(t, d) != 5 {
			t.Errorf("%T: another process goes on with %d, %v", d, newestReadable(t, d), err)
		}
		if err := f.Clear(); err != nil || newestReadable(t, d) != 0 {
			t.Errorf("%T: cleared, but %d is there, %v", d, newestReadable(t, d), err)
		}
		f.Close()
	}
}

// The machine crashes at some operation of a write, and what was not synced is lost, torn or
// reordered. The directory then has the snapshot before or the new one, whole; once Write has
// reflipped, the new one. The next process can write again.
func TestCrashAtEveryOperation(t *testing.T) {
	crashPoints := 0
	for _, mode := range disktest.CrashModes() {
		for seed := range int64(8) {
			d, rng := disktest.New(), rand.New(rand.NewSource(seed))
			f := open(t, d)
			written := 0
			for serial := 1; serial <= 4; serial++ {
				d.OnOperation(func(op int) {
					crashPoints++
					after := d.AfterCrash(mode, rng)
					if got := newestReadable(t, after); got < written || got > serial {
						t.Fatalf("crash mode %d, operation %d: %d is found, %d was written, %d was being written",
							mode, op, got, written, serial)
					}
					if reopened := open(t, after); write(reopened, testSections(9)) != nil || newestReadable(t, after) != 9 {
						t.Fatalf("crash mode %d, operation %d: the next process can't go on", mode, op)
					}
				})
				if err := write(f, testSections(serial)); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				written = serial
				if got := newestReadable(t, d.AfterCrash(mode, rng)); got != serial {
					t.Fatalf("crash mode %d: %d was written, %d is found", mode, serial, got)
				}
			}
		}
	}
	if crashPoints < 1500 {
		t.Errorf("only %d points", crashPoints)
	}
}

// A file is cut at any byte, has any bit flipped, or has something behind its end. Read reports it
// as damaged and never passes on a section that was not written.
func TestDamagedFilesAreReported(t *testing.T) {
	d := disktest.New()
	f := open(t, d)
	if err := write(f, testSections(1)); err != nil {
		t.Fatal(err)
	}
	const name = "snapshot-0000000000000001"
	whole := d.Get(name)
	checkDamaged := func(what string, file []byte) {
		t.Helper()
		d.Put(name, file)
		got, err := read(d, name)
		if err == nil {
			t.Errorf("%s: taken for whole", what)
		}
		for _, s := range got {
			wasWritten := func(w Section) bool { return equalSections([]Section{w}, []Section{s}) }
			if !slices.ContainsFunc(testSections(1), wasWritten) {
				t.Errorf("%s: hands on what was not written", what)
			}
		}
	}
	for n := range whole {
		checkDamaged(fmt.Sprint("cut at ", n), whole[:n])
		for bit := range 8 {
			flipped := slices.Clone(whole)
			flipped[n] ^= 1 << bit
			checkDamaged(fmt.Sprint("bit ", bit, " of ", n), flipped)
		}
	}
	checkDamaged("something behind the end", append(slices.Clone(whole), 0))
	checkDamaged("twice", append(slices.Clone(whole), whole...))
	flipped := slices.Clone(whole)
	flipped[headerBytes+sectionHeaderBytes+3] ^= 1
	d.Put(name, flipped)
	if got, _ := read(d, name); !equalSections(got, testSections(1)[1:]) {
		t.Errorf("one section damaged: %d are left", len(got))
	}
	swapped := testSections(1)
	swapped[0], swapped[1] = swapped[1], swapped[0]
	d.Put(name, whole)
	if err := write(f, swapped); err != nil {
		t.Fatal(err)
	}
	second := d.Get("snapshot-0000000000000002")
	mixed := slices.Concat(second[:headerBytes], whole[headerBytes:])
	checkDamaged("the head of another file", mixed)
}

// A directory has files of other programs and versions, of absurd sizes or with absurd lengths
// inside. Each gets its own error, no more is allocated than the bounds say, and snapshots can be
// written beside it.
func TestFilesThatAreNoUsableSnapshots(t *testing.T) {
	header := func(version uint16) []byte {
		b := binary.BigEndian.AppendUint16([]byte(magic), version)
		b = binary.BigEndian.AppendUint64(b, 1)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	}
	oversized := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(header(Version), 1), 1<<31)
	for _, c := range []struct {
		name string
		file []byte
		want error
	}{
		{"empty", nil, ErrNotSnapshot},
		{"another program's", []byte("SQLite format 3\x00 and more than a head of it"), ErrNotSnapshot},
		{"a newer version's", header(Version + 1), ErrVersion},
		{"a section of 2 GB", append(oversized, make([]byte, 100)...), ErrDamaged},
		{"past the bound", make([]byte, testBounds.File+1), ErrTooLarge},
		{"zeros", make([]byte, testBounds.File), ErrNotSnapshot},
	} {
		d := disktest.New()
		d.Put("snapshot-0000000000000001", c.file)
		if _, err := read(d, "snapshot-0000000000000001"); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		if f := open(t, d); write(f, testSections(2)) != nil || newestReadable(t, d) != 2 {
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
	if _, err := read(disk.Folder(path), "snapshot-00000000000000ff"); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a file of 1 GB: %v", err)
	}
	if err := os.Mkdir(filepath.Join(path, "snapshot-00000000000000fe"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := read(disk.Folder(path), "snapshot-00000000000000fe"); err == nil {
		t.Error("a folder is read as a file")
	}
	for _, name := range []string{"", ".", "..", "../x", "a/b"} {
		if _, err := disk.Folder(path).Create(name); err == nil {
			t.Errorf("%q is created", name)
		}
	}
}

// A disk gets full, or fails from any operation on. The earlier snapshot stays, and writes succeed
// again once the disk works.
func TestFullAndFailingDisks(t *testing.T) {
	d := disktest.New()
	f := open(t, d)
	if err := write(f, testSections(1)); err != nil {
		t.Fatal(err)
	}
	size := len(d.Get("snapshot-0000000000000001"))
	for freeBytes := range size {
		d.Fill(freeBytes)
		if err := write(f, testSections(2)); err == nil {
			t.Fatalf("%d bytes of room: written", freeBytes)
		}
		if newestReadable(t, d) != 1 {
			t.Fatalf("%d bytes of room: the old one is gone", freeBytes)
		}
	}
	d.Fill(-1)
	for op := 1; ; op++ {
		reached := d.FailFrom(op, io.ErrClosedPipe)
		err := write(f, testSections(2))
		failed := reached()
		if got := newestReadable(t, d); got != 1 && got != 2 || err == nil && got != 2 {
			t.Fatalf("fails from operation %d: %v, %d is there", op, err, got)
		}
		if !failed {
			break
		}
	}
	if err := write(f, testSections(3)); err != nil || newestReadable(t, d) != 3 {
		t.Errorf("well again: %v, %d is there", err, newestReadable(t, d))
	}
}

// Write refuses what Read would refuse.
func TestWriteKeepsToTheBounds(t *testing.T) {
	f := open(t, disktest.New())
	for name, sections := range map[string][]Section{
		"a section too long": {{1, make([]byte, testBounds.Section+1)}},
		"too many sections":  slices.Repeat([]Section{{1, nil}}, testBounds.Sections+1),
		"a file too long":    slices.Repeat([]Section{{1, make([]byte, testBounds.Section)}}, testBounds.Sections),
		"the kind of an end": {{0, nil}},
	} {
		if err := write(f, sections); err == nil {
			t.Errorf("%s is written", name)
		}
	}
}
