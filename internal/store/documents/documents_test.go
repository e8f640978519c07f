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

// testDocument is the n-th that is stored; no two have the same length.
func testDocument(n int) []byte { return bytes.Repeat([]byte{byte(n)}, 20+n) }

func hashOfDocument(n int) Hash { return sha256.Sum256(testDocument(n)) }

func testCurrent(n int) Current { return Current{hashOfDocument(n), fmt.Append(nil, "version ", n)} }

// storeVersion does what a caller does for the n-th version: it stores the document and the record, and
// removes the document before the last one.
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

// currentVersion returns the current version of a directory; 0: it has none. Everything that the directory
// returns must be as it was stored.
func currentVersion(t *testing.T, d disk.Disk) int {
	t.Helper()
	f, contents := open(t, d)
	defer f.Close()
	for hash, content := range contents.Documents {
		if sha256.Sum256(content) != hash {
			t.Fatalf("%x is handed out with other content", hash)
		}
	}
	if contents.Current == nil {
		return 0
	}
	if contents.Documents[contents.Current.Document] == nil {
		t.Fatal("the record is there without its document")
	}
	for n := range 20 {
		if contents.Current.Document == hashOfDocument(n) && bytes.Equal(contents.Current.Record, testCurrent(n).Record) {
			return n
		}
	}
	t.Fatalf("a record is handed out that was never stored: %q", contents.Current.Record)
	return 0
}

// Versions follow each other over restarts, on the model of a disk and on the operating system's.
func TestVersionsFollowEachOtherOverRestarts(t *testing.T) {
	for _, d := range []disk.Disk{disktest.New(), disk.Folder(t.TempDir())} {
		f, contents := open(t, d)
		if contents.Current != nil || len(contents.Documents) > 0 || contents.Damaged > 0 {
			t.Errorf("%T: an empty folder holds %+v", d, contents)
		}
		if _, _, err := Open(d, testBounds); !errors.Is(err, disk.ErrLocked) {
			t.Errorf("%T: a second process has the folder too: %v", d, err)
		}
		for n := 1; n <= 8; n++ {
			if err := storeVersion(f, n); err != nil {
				t.Fatalf("%T: version %d: %v", d, n, err)
			}
		}
		f.Close()
		if got := currentVersion(t, d); got != 8 {
			t.Errorf("%T: %d is current", d, got)
		}
		f, contents = open(t, d)
		if len(contents.Documents) != 2 || contents.Damaged > 0 {
			t.Errorf("%T: %d documents are left, %d damaged", d, len(contents.Documents), contents.Damaged)
		}
		if err := storeVersion(f, 9); err != nil {
			t.Errorf("%T: another process can't go on: %v", d, err)
		}
		f.Close()
		if got := currentVersion(t, d); got != 9 {
			t.Errorf("%T: %d is current", d, got)
		}
	}
}

// The machine crashes at some operation, and what was not synced is lost, torn or reordered. The
// version before or the new one is then current, with its document; once a call has returned, what
// it stored is there. The next process can continue.
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
						t.Fatalf("crash mode %d, operation %d: %d is found, %d was stored, %d was being stored",
							mode, op, got, stored, n)
					}
					reopened, contents := open(t, after)
					defer reopened.Close()
					removeOthers(t, reopened, contents)
					if err := storeVersion(reopened, 9); err != nil {
						t.Fatalf("crash mode %d, operation %d: the next process can't go on: %v", mode, op, err)
					}
				})
				if err := f.Put(hashOfDocument(n), testDocument(n)); err != nil {
					t.Fatal(err)
				}
				if err := f.SetCurrent(testCurrent(n)); err != nil {
					t.Fatal(err)
				}
				stored = n // whatever becomes of the removal
				if n > 2 {
					if err := f.Remove(hashOfDocument(n - 2)); err != nil {
						t.Fatal(err)
					}
				}
				d.OnOperation(nil)
				if got := currentVersion(t, d.AfterCrash(mode, rng)); got != n {
					t.Fatalf("crash mode %d: %d was stored, %d is found", mode, n, got)
				}
			}
		}
	}
	if crashPoints < 2500 {
		t.Errorf("only %d points", crashPoints)
	}
}

// removeOthers removes all documents but the current one, as a crash may have undone removals.
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

// A document is put and the machine crashes before any record names it. The document is there.
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

// A file is cut at some byte or has a bit flipped. Open removes and counts it, and the next process
// can store the same content again.
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
				t.Fatalf("%s: damage %d is not counted", name, i)
			}
			if isCurrent := contents.Current != nil; isCurrent != (name == documentName(hashOfDocument(1))) {
				t.Fatalf("%s: damage %d: there is a current version: %v", name, i, isCurrent)
			}
			if err := storeVersion(f, 2); err != nil {
				t.Fatalf("%s: damage %d: %v", name, i, err)
			}
			f.Close()
			if got := currentVersion(t, d); got != 2 {
				t.Fatalf("%s: damage %d: stored again, %d is current", name, i, got)
			}
		}
	}
}

// diskWithTwoVersions returns a disk with two versions.
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

// The disk gets full at some byte of a write. The version before stays, and the new one is stored
// once there is room.
func TestFullDiskKeepsTheVersionBefore(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	size := len(testDocument(3)) + headerBytes + len(testCurrent(3).Record)
	for freeBytes := range size {
		d.Fill(freeBytes)
		if err := storeVersion(f, 3); err == nil {
			t.Fatalf("%d bytes of room: stored", freeBytes)
		}
		for name := range namesOf(t, d) {
			if strings.HasSuffix(name, temporarySuffix) {
				t.Fatalf("%d bytes of room: %s is left", freeBytes, name)
			}
		}
		f.Close()
		if got := currentVersion(t, d); got != 2 {
			t.Fatalf("%d bytes of room: %d is current", freeBytes, got)
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
		t.Errorf("room is back, and %d is current", got)
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

// The disk fails from some operation on. The version before or the new one is current and neither
// document is removed; the process continues once the disk works.
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
			t.Fatalf("fails from operation %d: %v, %d is current", op, err, got)
		}
		f, _ = open(t, d)
		if err := storeVersion(f, 4); err != nil {
			t.Fatalf("failed from operation %d and is well: %v", op, err)
		}
		f.Close()
		if got := currentVersion(t, d); got != 4 {
			t.Fatalf("failed from operation %d and is well: %d is current", op, got)
		}
		if !failed {
			break
		}
	}
}

// The directory's sync fails after the record's rename. A restart may find either version, so
// neither document can be removed before a replacement has succeeded.
func TestFailedReplacementKeepsBothDocumentsInUse(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	if err := f.Put(hashOfDocument(3), testDocument(3)); err != nil {
		t.Fatal(err)
	}
	const syncOfFolder = 5 // create, write, sync, rename, sync
	reached := d.FailFrom(syncOfFolder, io.ErrClosedPipe)
	if err := f.SetCurrent(testCurrent(3)); err == nil || !reached() {
		t.Fatalf("the sync did not fail: %v", err)
	}
	for n := 2; n <= 3; n++ {
		if err := f.Remove(hashOfDocument(n)); !errors.Is(err, ErrInUse) {
			t.Errorf("document %d: %v", n, err)
		}
	}
	if err := f.SetCurrent(testCurrent(3)); err != nil {
		t.Fatal(err)
	}
	if err := f.Remove(hashOfDocument(2)); err != nil {
		t.Error(err)
	}
}

// The record is removed. At each crash and after each failure it is there whole or gone, and its
// document can be removed only once the record is gone for good.
func TestClearedRecordIsGoneForGood(t *testing.T) {
	for _, mode := range disktest.CrashModes() {
		d, rng := diskWithTwoVersions(t), rand.New(rand.NewSource(1))
		f, _ := open(t, d)
		d.OnOperation(func(op int) {
			if got := currentVersion(t, d.AfterCrash(mode, rng)); got != 0 && got != 2 {
				t.Fatalf("crash mode %d, operation %d: %d is current", mode, op, got)
			}
		})
		if err := f.ClearCurrent(); err != nil {
			t.Fatal(err)
		}
		d.OnOperation(nil)
		if got := currentVersion(t, d.AfterCrash(mode, rng)); got != 0 {
			t.Errorf("crash mode %d: cleared, and %d is current", mode, got)
		}
	}
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	for op := 1; op <= 2; op++ {
		reached := d.FailFrom(op, io.ErrClosedPipe)
		if err := f.ClearCurrent(); err == nil || !reached() {
			t.Errorf("fails from operation %d: %v", op, err)
		}
		if err := f.Remove(hashOfDocument(2)); !errors.Is(err, ErrInUse) {
			t.Errorf("failed from operation %d, and the document is let go: %v", op, err)
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

// Reading fails. Open reports that, because a disk that can't be read just now is not one without a
// version.
func TestUnreadableDiskIsNotAnEmptyOne(t *testing.T) {
	for op := 1; ; op++ {
		d := diskWithTwoVersions(t)
		reached := d.FailFrom(op, io.ErrClosedPipe)
		f, c, err := Open(d, testBounds)
		if !reached() {
			break
		}
		if err == nil && c.Current == nil {
			t.Errorf("fails from operation %d: the folder is taken for one without a version", op)
		}
		if err == nil {
			f.Close()
		}
		if got := currentVersion(t, d); got != 2 {
			t.Errorf("failed from operation %d and is well: %d is current", op, got)
		}
	}
}

// The disk hangs during a write. The write returns once the disk goes on, and is whole.
func TestWriteWaitsForAHangingDisk(t *testing.T) {
	d := diskWithTwoVersions(t)
	f, _ := open(t, d)
	release := d.Hang()
	result := make(chan error)
	go func() { result <- storeVersion(f, 3) }()
	select {
	case err := <-result:
		t.Fatalf("the disk hangs, and the store returns %v", err)
	default:
	}
	release()
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	f.Close()
	if got := currentVersion(t, d); got != 3 {
		t.Errorf("%d is current", got)
	}
}

// A call exceeds a bound, or its arguments contradict each other. It fails and changes nothing.
func TestRefusedCallsChangeNothing(t *testing.T) {
	f, _ := open(t, diskWithTwoVersions(t))
	big := make([]byte, testBounds.Document+1)
	withBigRecord := Current{hashOfDocument(1), make([]byte, maxRecordBytes+1)}
	for name, c := range map[string]struct {
		err  error
		want error
	}{
		"a document too big":                  {f.Put(sha256.Sum256(big), big), ErrTooLarge},
		"a document of another hash":          {f.Put(hashOfDocument(4), testDocument(5)), ErrHashMismatch},
		"a record without a document":         {f.SetCurrent(testCurrent(6)), ErrNotFound},
		"a record too big":                    {f.SetCurrent(withBigRecord), ErrTooLarge},
		"the current document's removal":      {f.Remove(hashOfDocument(2)), ErrInUse},
		"removal of what was never there":     {f.Remove(hashOfDocument(7)), nil},
		"a document that is there already":    {f.Put(hashOfDocument(2), testDocument(2)), nil},
		"a document of no bytes":              {f.Put(sha256.Sum256(nil), nil), nil},
		"a document within the bounds":        {f.Put(hashOfDocument(10), testDocument(10)), nil},
		"one more document than there may be": {f.Put(hashOfDocument(11), testDocument(11)), ErrFull},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("%s: %v", name, c.err)
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
		t.Errorf("more bytes than there may be: %v", err)
	}
}

// Other programs' files are left alone. Documents that exceed the bounds are dropped, the current
// one last.
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
		t.Errorf("current %v, %d documents, %d damaged", contents.Current, len(contents.Documents), contents.Damaged)
	}
	names := namesOf(t, d)
	for _, name := range foreign {
		if !names[name] {
			t.Errorf("%s is gone", name)
		}
	}
	const own = 1 + 1 // current and the lock
	if len(names) != len(foreign)+own+testBounds.Documents {
		t.Errorf("%d files are left: %v", len(names), names)
	}
}
