package documents

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

var testBounds = Bounds{Document: 200, Documents: 4, Bytes: 500}

// testDocument returns the n-th document; no two have the same length.
func testDocument(n int) []byte { return bytes.Repeat([]byte{byte(n)}, 20+n) }

func hashOfDocument(n int) Hash { return sha256.Sum256(testDocument(n)) }

func testCurrent(n int) Current { return Current{hashOfDocument(n), fmt.Append(nil, "version ", n)} }

// storeVersion stores the n-th version as callers do: it stores the document, then the record, and
// removes the document of version n-2.
func storeVersion(f *Folder, n int) error {
	if err := f.Put(hashOfDocument(n), testDocument(n)); err != nil {
		return err
	}
	if err := f.SetCurrent(testCurrent(n)); err != nil {
		return err
	}
	if n > 2 {
		return f.Remove(hashOfDocument(n - 2))
	}
	return nil
}

func open(t *testing.T, d disk.Disk) (*Folder, Contents) {
	t.Helper()
	f, c, err := Open(d, testBounds)
	if err != nil {
		t.Fatal(err)
	}
	return f, c
}

// currentVersion opens a directory and returns its current version; 0: it has none. It fails the
// test if a document or the record differs from what was stored.
func currentVersion(t *testing.T, d disk.Disk) int {
	t.Helper()
	f, contents := open(t, d)
	defer f.Close()
	for hash, content := range contents.Documents {
		if sha256.Sum256(content) != hash {
			t.Fatalf("Open returned a document that does not match its hash %x", hash)
		}
	}
	if contents.Current == nil {
		return 0
	}
	if contents.Documents[contents.Current.Document] == nil {
		t.Fatal("Open returned a record without its document")
	}
	for n := range 20 {
		if contents.Current.Document == hashOfDocument(n) && bytes.Equal(contents.Current.Record, testCurrent(n).Record) {
			return n
		}
	}
	t.Fatalf("Open returned a record that was never stored: %q", contents.Current.Record)
	return 0
}

// Versions are stored one after another and across restarts, on the model of a disk and on a real file
// system.
func TestVersionsFollowEachOtherOverRestarts(t *testing.T) {
	for _, d := range []disk.Disk{disktest.New(), disk.Folder(t.TempDir())} {
		f, contents := open(t, d)
		if contents.Current != nil || len(contents.Documents) > 0 || contents.Damaged > 0 {
			t.Errorf("%T: Open of an empty directory returned %+v", d, contents)
		}
		if _, _, err := Open(d, testBounds); !errors.Is(err, disk.ErrLocked) {
			t.Errorf("%T: a second Open returned %v, want ErrLocked", d, err)
		}
		for n := 1; n <= 8; n++ {
			if err := storeVersion(f, n); err != nil {
				t.Fatalf("%T: storing version %d: %v", d, n, err)
			}
		}
		f.Close()
		if got := currentVersion(t, d); got != 8 {
			t.Errorf("%T: version %d is current, want 8", d, got)
		}
		f, contents = open(t, d)
		if len(contents.Documents) != 2 || contents.Damaged > 0 {
			t.Errorf("%T: %d documents, %d damaged; want 2 and 0", d, len(contents.Documents), contents.Damaged)
		}
		if err := storeVersion(f, 9); err != nil {
			t.Errorf("%T: storing a version after reopening: %v", d, err)
		}
		f.Close()
		if got := currentVersion(t, d); got != 9 {
			t.Errorf("%T: version %d is current, want 9", d, got)
		}
	}
}

// The machine crashes at any operation, and unsynced changes are lost, torn or reordered. The previous
// version or the new one is then current, with its document; what a call stored before it returned is
// durable. The next process can store versions.
func TestCrashAtEveryOperation(t *testing.T) {
	crashPoints := 0
	for _, mode := range disktest.CrashModes() {
		for seed := range int64(8) {
			d, rng := disktest.New(), rand.New(rand.NewSource(seed))
			f, _ := open(t, d)
			stored := 0
			for n := 1; n <= 5; n++ {
				d.OnOperation(func(op int) {
					crashPoints++
					after := d.AfterCrash(mode, rng)
					if got := currentVersion(t, after); got < stored || got > n {
						t.Fatalf("crash mode %d, operation %d: version %d is current, %d was stored, %d was being stored",
							mode, op, got, stored, n)
					}
					reopened, contents := open(t, after)
					defer reopened.Close()
					removeOthers(t, reopened, contents)
					if err := storeVersion(reopened, 9); err != nil {
						t.Fatalf("crash mode %d, operation %d: the next process can't store a version: %v", mode, op, err)
					}
				})
				if err := f.Put(hashOfDocument(n), testDocument(n)); err != nil {
					t.Fatal(err)
				}
				if err := f.SetCurrent(testCurrent(n)); err != nil {
					t.Fatal(err)
				}
				stored = n // independent of the removal below
				if n > 2 {
					if err := f.Remove(hashOfDocument(n - 2)); err != nil {
						t.Fatal(err)
					}
				}
				d.OnOperation(nil)
				if got := currentVersion(t, d.AfterCrash(mode, rng)); got != n {
					t.Fatalf("crash mode %d: version %d was stored, but %d is current", mode, n, got)
				}
			}
		}
	}
	if crashPoints < 2500 {
		t.Errorf("%d crash points were tested, want at least 2500", crashPoints)
	}
}

// removeOthers removes all documents but the current one, as the crash may have undone removals.
func removeOthers(t *testing.T, f *Folder, contents Contents) {
	t.Helper()
	for hash := range contents.Documents {
		if contents.Current != nil && hash == contents.Current.Document {
			continue
		}
		if err := f.Remove(hash); err != nil {
			t.Fatal(err)
		}
	}
}

// A document is stored and the machine crashes before any record names it. The document is durable.
func TestDocumentIsDurableBeforeItsRecord(t *testing.T) {
	for _, mode := range disktest.CrashModes() {
		d := disktest.New()
		f, _ := open(t, d)
		if err := f.Put(hashOfDocument(1), testDocument(1)); err != nil {
			t.Fatal(err)
		}
		reopened, contents := open(t, d.AfterCrash(mode, rand.New(rand.NewSource(1))))
		if !bytes.Equal(contents.Documents[hashOfDocument(1)], testDocument(1)) {
			t.Errorf("crash mode %d: the document is lost", mode)
		}
		reopened.Close()
	}
}

// A file is truncated at any byte, has any bit flipped, or has trailing data. Open removes and counts
// it, and the same content can be stored again.
func TestDamagedFilesAreDroppedAndCounted(t *testing.T) {
	for _, name := range []string{currentName, documentName(hashOfDocument(2)), documentName(hashOfDocument(1))} {
		whole := diskWithTwoVersions(t).Get(name)
		var versions [][]byte
		for n := range whole {
			versions = append(versions, whole[:n])
			for bit := range 8 {
				flipped := slices.Clone(whole)
				flipped[n] ^= 1 << bit
				versions = append(versions, flipped)
			}
		}
		versions = append(versions, append(slices.Clone(whole), 0), slices.Concat(whole, whole), make([]byte, 1<<20))
		for i, damaged := range versions {
			d := diskWithTwoVersions(t)
			d.Put(name, damaged)
			f, contents := open(t, d)
			if contents.Damaged == 0 {
				t.Fatalf("%s: Open does not count damage %d", name, i)
			}
			if isCurrent := contents.Current != nil; isCurrent != (name == documentName(hashOfDocument(1))) {
				t.Fatalf("%s: damage %d: Open returns a record: %v", name, i, isCurrent)
			}
			if err := storeVersion(f, 2); err != nil {
				t.Fatalf("%s: damage %d: storing the version again: %v", name, i, err)
			}
			f.Close()
			if got := currentVersion(t, d); got != 2 {
				t.Fatalf("%s: damage %d: after storing version 2 again, %d is current", name, i, got)
			}
		}
	}
}

// diskWithTwoVersions returns a disk on which versions 1 and 2 are stored.
func diskWithTwoVersions(t *testing.T) *disktest.Disk {
	t.Helper()
	d := disktest.New()
	f, _ := open(t, d)
	defer f.Close()
	for n := 1; n <= 2; n++ {
		if err := storeVersion(f, n); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// The disk gets full at any byte of a write. The previous version stays, no temporary file is left,
// and the new version can be stored once there is space.
func TestFullDiskKeepsTheVersionBefore(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	size := len(testDocument(3)) + headerBytes + len(testCurrent(3).Record)
	for freeBytes := range size {
		d.Fill(freeBytes)
		if err := storeVersion(f, 3); err == nil {
			t.Fatalf("%d bytes free: storing a version returned no error", freeBytes)
		}
		for name := range namesOf(t, d) {
			if strings.HasSuffix(name, temporarySuffix) {
				t.Fatalf("%d bytes free: temporary file %s is left", freeBytes, name)
			}
		}
		f.Close()
		if got := currentVersion(t, d); got != 2 {
			t.Fatalf("%d bytes free: version %d is current, want 2", freeBytes, got)
		}
		f, _ = open(t, d)
		if err := f.Remove(hashOfDocument(3)); err != nil {
			t.Fatal(err)
		}
	}
	d.Fill(-1)
	if err := storeVersion(f, 3); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if got := currentVersion(t, d); got != 3 {
		t.Errorf("once there is space, version %d is current, want 3", got)
	}
}

func namesOf(t *testing.T, d disk.Disk) map[string]bool {
	t.Helper()
	names, err := d.Names()
	if err != nil {
		t.Fatal(err)
	}
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// The disk fails from any operation on. The previous version or the new one is then current, and its
// document is not removed; once the disk works, versions can be stored.
func TestFailingDiskKeepsBothDocuments(t *testing.T) {
	for op := 1; ; op++ {
		d := diskWithTwoVersions(t)
		f, _ := open(t, d)
		reached := d.FailFrom(op, io.ErrClosedPipe)
		err := storeVersion(f, 3)
		failed := reached()
		if err != nil && !failed {
			t.Fatal(err)
		}
		f.Close()
		if got := currentVersion(t, d); got != 2 && got != 3 || err == nil && got != 3 {
			t.Fatalf("disk failed from operation %d: storing version 3 returned %v, and version %d is current", op, err, got)
		}
		f, _ = open(t, d)
		if err := storeVersion(f, 4); err != nil {
			t.Fatalf("disk failed from operation %d and works again: storing version 4: %v", op, err)
		}
		f.Close()
		if got := currentVersion(t, d); got != 4 {
			t.Fatalf("disk failed from operation %d and works again: version %d is current, want 4", op, got)
		}
		if !failed {
			break
		}
	}
}

// The sync of the directory fails after the rename of the record. A restart may find either record, so
// neither document can be removed until SetCurrent has succeeded.
func TestFailedReplacementKeepsBothDocumentsInUse(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	if err := f.Put(hashOfDocument(3), testDocument(3)); err != nil {
		t.Fatal(err)
	}
	const syncOfFolder = 5 // create, write, sync, rename, sync
	reached := d.FailFrom(syncOfFolder, io.ErrClosedPipe)
	if err := f.SetCurrent(testCurrent(3)); err == nil || !reached() {
		t.Fatalf("SetCurrent returned %v, want the error of the sync", err)
	}
	for n := 2; n <= 3; n++ {
		if err := f.Remove(hashOfDocument(n)); !errors.Is(err, ErrInUse) {
			t.Errorf("Remove of document %d returned %v, want ErrInUse", n, err)
		}
	}
	if err := f.SetCurrent(testCurrent(3)); err != nil {
		t.Fatal(err)
	}
	if err := f.Remove(hashOfDocument(2)); err != nil {
		t.Error(err)
	}
}

// The record is removed. After a crash or a failure at any operation it is whole or removed, and its
// document can be removed only once the removal of the record is durable.
func TestClearedRecordIsGoneForGood(t *testing.T) {
	for _, mode := range disktest.CrashModes() {
		d, rng := diskWithTwoVersions(t), rand.New(rand.NewSource(1))
		f, _ := open(t, d)
		d.OnOperation(func(op int) {
			if got := currentVersion(t, d.AfterCrash(mode, rng)); got != 0 && got != 2 {
				t.Fatalf("crash mode %d, operation %d: version %d is current, want 2 or none (0)", mode, op, got)
			}
		})
		if err := f.ClearCurrent(); err != nil {
			t.Fatal(err)
		}
		d.OnOperation(nil)
		if got := currentVersion(t, d.AfterCrash(mode, rng)); got != 0 {
			t.Errorf("crash mode %d: version %d is current after ClearCurrent, want none (0)", mode, got)
		}
	}
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	for op := 1; op <= 2; op++ {
		reached := d.FailFrom(op, io.ErrClosedPipe)
		if err := f.ClearCurrent(); err == nil || !reached() {
			t.Errorf("disk fails from operation %d: ClearCurrent returned %v, want an error", op, err)
		}
		if err := f.Remove(hashOfDocument(2)); !errors.Is(err, ErrInUse) {
			t.Errorf("disk failed from operation %d: Remove returned %v, want ErrInUse", op, err)
		}
	}
	for range 2 {
		if err := f.ClearCurrent(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Remove(hashOfDocument(2)); err != nil {
		t.Error(err)
	}
}

// Reading fails. Open returns the error, so that a disk that can't be read for a while is not taken
// for one without a current version.
func TestUnreadableDiskIsNotAnEmptyOne(t *testing.T) {
	for op := 1; ; op++ {
		d := diskWithTwoVersions(t)
		reached := d.FailFrom(op, io.ErrClosedPipe)
		f, c, err := Open(d, testBounds)
		if !reached() {
			break
		}
		if err == nil && c.Current == nil {
			t.Errorf("disk fails from operation %d: Open returned neither an error nor a record", op)
		}
		if err == nil {
			f.Close()
		}
		if got := currentVersion(t, d); got != 2 {
			t.Errorf("disk failed from operation %d and works again: version %d is current, want 2", op, got)
		}
	}
}

// The disk hangs during a write. The write completes once the disk stops hanging.
func TestWriteWaitsForAHangingDisk(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	release := d.Hang()
	result := make(chan error)
	go func() { result <- storeVersion(f, 3) }()
	select {
	case err := <-result:
		t.Fatalf("storing a version returned %v while the disk hangs", err)
	default:
	}
	release()
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	f.Close()
	if got := currentVersion(t, d); got != 3 {
		t.Errorf("version %d is current, want 3", got)
	}
}

// Calls that exceed a bound or have inconsistent arguments fail and change nothing.
func TestRefusedCallsChangeNothing(t *testing.T) {
	f, _ := open(t, diskWithTwoVersions(t))
	big := make([]byte, testBounds.Document+1)
	withBigRecord := Current{hashOfDocument(1), make([]byte, maxRecordBytes+1)}
	for name, c := range map[string]struct {
		err  error
		want error
	}{
		"a document that is too large":        {f.Put(sha256.Sum256(big), big), ErrTooLarge},
		"a document with a wrong hash":        {f.Put(hashOfDocument(4), testDocument(5)), ErrHashMismatch},
		"a record without a document":         {f.SetCurrent(testCurrent(6)), ErrNotFound},
		"a record that is too large":          {f.SetCurrent(withBigRecord), ErrTooLarge},
		"removal of the current document":     {f.Remove(hashOfDocument(2)), ErrInUse},
		"removal of an unknown document":      {f.Remove(hashOfDocument(7)), nil},
		"a document that is already stored":   {f.Put(hashOfDocument(2), testDocument(2)), nil},
		"an empty document":                   {f.Put(sha256.Sum256(nil), nil), nil},
		"a document within the bounds":        {f.Put(hashOfDocument(10), testDocument(10)), nil},
		"a document above the number allowed": {f.Put(hashOfDocument(11), testDocument(11)), ErrFull},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("%s: error %v is not the one in the table", name, c.err)
		}
	}
	f, _ = open(t, disktest.New())
	for n := range 2 {
		filled := bytes.Repeat([]byte{byte(n)}, testBounds.Document)
		if err := f.Put(sha256.Sum256(filled), filled); err != nil {
			t.Fatal(err)
		}
	}
	last := bytes.Repeat([]byte{9}, int(testBounds.Bytes)-2*testBounds.Document+1)
	if err := f.Put(sha256.Sum256(last), last); !errors.Is(err, ErrFull) {
		t.Errorf("a document above the total size allowed: error %v, want ErrFull", err)
	}
}

// Files of other programs are not touched. Documents that exceed the bounds are removed, but not the
// current one.
func TestForeignFilesStayAndExcessDocumentsGo(t *testing.T) {
	path := t.TempDir()
	d := disk.Folder(path)
	f, _ := open(t, d)
	if err := storeVersion(f, 1); err != nil {
		t.Fatal(err)
	}
	f.Close()
	put := func(name string, content []byte) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(path, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	upperCase := strings.ToUpper(documentName(hashOfDocument(3)))
	foreign := []string{"notes.txt", "document-", "document-zz", upperCase, "other.new"}
	for _, name := range foreign {
		put(name, []byte("an operator's"))
	}
	for n := 2; n <= 9; n++ {
		put(documentName(hashOfDocument(n)), testDocument(n))
	}
	put(documentName(hashOfDocument(10))+temporarySuffix, testDocument(10)[:3])
	put(currentName+temporarySuffix, []byte("half"))
	if err := os.Mkdir(filepath.Join(path, documentName(hashOfDocument(11))), 0o700); err != nil {
		t.Fatal(err)
	}
	f, contents := open(t, d)
	defer f.Close()
	isCurrent := contents.Current != nil && contents.Current.Document == hashOfDocument(1)
	if !isCurrent || len(contents.Documents) != testBounds.Documents || contents.Damaged != 6 {
		t.Errorf("current %v, %d documents, %d damaged; want document 1 current, 4 documents, 6 damaged", contents.Current, len(contents.Documents), contents.Damaged)
	}
	names := namesOf(t, d)
	for _, name := range foreign {
		if !names[name] {
			t.Errorf("file %s of another program was removed", name)
		}
	}
	const own = 1 + 1 // current and the lock
	if len(names) != len(foreign)+own+testBounds.Documents {
		t.Errorf("%d files are left, want the foreign ones, current, lock and 4 documents: %v", len(names), names)
	}
}
