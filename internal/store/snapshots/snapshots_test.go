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

// testSections returns sections whose payload identifies the snapshot they belong to.
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

// newestReadable returns the number of the newest snapshot that can be read whole, which is the one
// that a reader chooses; 0: there is none.
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
			t.Fatalf("Read of %s returned sections that were never written, and no error", f.Name)
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
			t.Errorf("%T: a second Open returned %v, want ErrLocked", d, err)
		}
		for serial := 1; serial <= 4; serial++ {
			if err := write(f, testSections(serial)); err != nil {
				t.Fatal(err)
			}
			if files, _ := Files(d); newestReadable(t, d) != serial || len(files) != min(serial, retainedFiles) {
				t.Errorf("%T: files are %v after snapshot %d; want it readable, and at most retainedFiles files", d, files, serial)
			}
		}
		f.Close()
		f = open(t, d)
		if err := write(f, testSections(5)); err != nil || newestReadable(t, d) != 5 {
			t.Errorf("%T: newest snapshot is %d after reopening and a Write, want 5; Write returned %v", d, newestReadable(t, d), err)
		}
		if err := f.Clear(); err != nil || newestReadable(t, d) != 0 {
			t.Errorf("%T: newest snapshot is %d after Clear, want none (0); Clear returned %v", d, newestReadable(t, d), err)
		}
		f.Close()
	}
}

// The machine crashes at any operation of a write, and unsynced changes are lost, torn or reordered.
// The directory then has the previous snapshot or the new one, whole; once Write has returned, it has
// the new one. The next process can write.
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
						t.Fatalf("crash mode %d, operation %d: newest snapshot is %d, %d was written, %d was being written",
							mode, op, got, written, serial)
					}
					if reopened := open(t, after); write(reopened, testSections(9)) != nil || newestReadable(t, after) != 9 {
						t.Fatalf("crash mode %d, operation %d: the next process can't write a snapshot", mode, op)
					}
				})
				if err := write(f, testSections(serial)); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				written = serial
				if got := newestReadable(t, d.AfterCrash(mode, rng)); got != serial {
					t.Fatalf("crash mode %d: snapshot %d was written, but the newest is %d", mode, serial, got)
				}
			}
		}
	}
	if crashPoints < 1500 {
		t.Errorf("%d crash points were tested, want at least 1500", crashPoints)
	}
}

// A file is truncated at any byte, has any bit flipped, or has data after its end. Read returns an
// error and never passes on a section that was not written.
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
			t.Errorf("%s: Read returned no error", what)
		}
		for _, s := range got {
			wasWritten := func(w Section) bool { return equalSections([]Section{w}, []Section{s}) }
			if !slices.ContainsFunc(testSections(1), wasWritten) {
				t.Errorf("%s: Read passed on a section that was not written", what)
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
	checkDamaged("data after the end", append(slices.Clone(whole), 0))
	checkDamaged("the content twice", append(slices.Clone(whole), whole...))
	flipped := slices.Clone(whole)
	flipped[headerBytes+sectionHeaderBytes+3] ^= 1
	d.Put(name, flipped)
	if got, _ := read(d, name); !equalSections(got, testSections(1)[1:]) {
		t.Errorf("with the first section damaged, Read passed on %d sections, want the other 2", len(got))
	}
	swapped := testSections(1)
	swapped[0], swapped[1] = swapped[1], swapped[0]
	d.Put(name, whole)
	if err := write(f, swapped); err != nil {
		t.Fatal(err)
	}
	second := d.Get("snapshot-0000000000000002")
	mixed := slices.Concat(second[:headerBytes], whole[headerBytes:])
	checkDamaged("the header of another file", mixed)
}

// A directory has files of other programs and versions, files that are too large, and files with
// lengths out of bounds. Read returns the error of each kind, and snapshots can be written beside them.
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
		{"a file of another program", []byte("SQLite format 3\x00 and more than a head of it"), ErrNotSnapshot},
		{"a newer version", header(Version + 1), ErrVersion},
		{"a section of 2 GB", append(oversized, make([]byte, 100)...), ErrDamaged},
		{"larger than the bound", make([]byte, testBounds.File+1), ErrTooLarge},
		{"zeros", make([]byte, testBounds.File), ErrNotSnapshot},
	} {
		d := disktest.New()
		d.Put("snapshot-0000000000000001", c.file)
		if _, err := read(d, "snapshot-0000000000000001"); !errors.Is(err, c.want) {
			t.Errorf("%s: Read returned %v, want the error in the table", c.name, err)
		}
		if f := open(t, d); write(f, testSections(2)) != nil || newestReadable(t, d) != 2 {
			t.Errorf("%s: no snapshot can be written beside it", c.name)
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
		t.Errorf("a file of 1 GB: Read returned %v, want ErrTooLarge", err)
	}
	if err := os.Mkdir(filepath.Join(path, "snapshot-00000000000000fe"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := read(disk.Folder(path), "snapshot-00000000000000fe"); err == nil {
		t.Error("Read of a directory returned no error")
	}
	for _, name := range []string{"", ".", "..", "../x", "a/b"} {
		if _, err := disk.Folder(path).Create(name); err == nil {
			t.Errorf("Create with the invalid name %q returned no error", name)
		}
	}
}

// A disk gets full, or fails from any operation on. The earlier snapshot stays readable, and writes
// succeed again once the disk works.
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
			t.Fatalf("%d bytes free: Write returned no error", freeBytes)
		}
		if newestReadable(t, d) != 1 {
			t.Fatalf("%d bytes free: the earlier snapshot can't be read", freeBytes)
		}
	}
	d.Fill(-1)
	for op := 1; ; op++ {
		reached := d.FailFrom(op, io.ErrClosedPipe)
		err := write(f, testSections(2))
		failed := reached()
		if got := newestReadable(t, d); got != 1 && got != 2 || err == nil && got != 2 {
			t.Fatalf("disk fails from operation %d: Write returned %v, and the newest snapshot is %d", op, err, got)
		}
		if !failed {
			break
		}
	}
	if err := write(f, testSections(3)); err != nil || newestReadable(t, d) != 3 {
		t.Errorf("disk works again: Write returned %v, newest snapshot is %d, want 3", err, newestReadable(t, d))
	}
}

// Write rejects what Read would reject.
func TestWriteKeepsToTheBounds(t *testing.T) {
	f := open(t, disktest.New())
	for name, sections := range map[string][]Section{
		"a section that is too large": {{1, make([]byte, testBounds.Section+1)}},
		"too many sections":           slices.Repeat([]Section{{1, nil}}, testBounds.Sections+1),
		"a file that is too large":    slices.Repeat([]Section{{1, make([]byte, testBounds.Section)}}, testBounds.Sections),
		"the kind of the end section": {{0, nil}},
	} {
		if err := write(f, sections); err == nil {
			t.Errorf("%s: Write returned no error", name)
		}
	}
}
