package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
	"mintkeel/internal/store/documents"
)

// storedVersion returns the n-th version and its document.
func storedVersion(n int) (config.Version, []byte) {
	document := fmt.Append(nil, "document ", n)
	return config.Version{Number: uint64(n), Hash: config.HashOf(document), Size: len(document), Author: "a"},
		document
}

// storeVersion stores the n-th version as the current one and removes the document of version n-2.
func storeVersion(f *Folder, n int) error {
	v, document := storedVersion(n)
	request := config.StoreRequest{Hash: v.Hash, Document: document, Current: &v}
	if n > 2 {
		old, _ := storedVersion(n - 2)
		request.Remove = []config.Hash{old.Hash}
	}
	return f.Store(&request)
}

func openTestFolder(t *testing.T, d disk.Disk, generation uint64) (*Folder, Contents) {
	t.Helper()
	f, contents, err := OpenFolder(d, generation)
	if err != nil {
		t.Fatal(err)
	}
	return f, contents
}

// currentNumber returns the number of the folder's current version; 0 if it has none.
func currentNumber(t *testing.T, d disk.Disk, generation uint64) uint64 {
	t.Helper()
	f, contents := openTestFolder(t, d, generation)
	defer f.Close()
	if contents.record == nil {
		return 0
	}
	v, document := storedVersion(int(contents.record.Version.Number))
	if contents.record.Version != v || !bytes.Equal(contents.document, document) ||
		!bytes.Equal(contents.documents[v.Hash], document) {
		t.Fatalf("current version: got %+v with document %q, want the version as stored", contents.record,
			contents.document)
	}
	return v.Number
}

// After a crash at any disk operation of a store request, the folder must have either the previous version or
// the new one, complete; once the request has returned, the new one.
func TestFolderAfterStopAtEachOperation(t *testing.T) {
	t.Parallel()
	crashes := 0
	for _, mode := range disktest.CrashModes() {
		for seed := range int64(4) {
			d, rng := disktest.New(), rand.New(rand.NewSource(seed))
			f, _ := openTestFolder(t, d, 1)
			for n := 1; n <= 5; n++ {
				d.OnOperation(func(op int) {
					crashes++
					if got := currentNumber(t, d.AfterCrash(mode, rng), 1); got != uint64(n) && got != uint64(n-1) {
						t.Fatalf("crash mode %d, operation %d: found version %d while %d was being stored", mode, op, got, n)
					}
				})
				if err := storeVersion(f, n); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				if got := currentNumber(t, d.AfterCrash(mode, rng), 1); got != uint64(n) {
					t.Fatalf("crash mode %d: found version %d after %d was stored", mode, got, n)
				}
			}
		}
	}
	if crashes < 1000 {
		t.Errorf("tested %d crashes, want at least 1000", crashes)
	}
}

// The record of another generation must be replaced by a version of this generation, and restored when no
// version of this generation is current any more, unless its document was removed.
func TestFolderOfAnotherGeneration(t *testing.T) {
	t.Parallel()
	d := disktest.New()
	f, _ := openTestFolder(t, d, 1)
	if err := storeVersion(f, 7); err != nil {
		t.Fatal(err)
	}
	f.Close()
	f, contents := openTestFolder(t, d, 2)
	if contents.record == nil || contents.record.Generation != 1 ||
		contents.record.atLeast(2, config.Version{Number: 1}) {
		t.Errorf("record: got %+v, want that of generation 1", contents.record)
	}
	noVersion := config.StoreRequest{Current: &config.Version{}}
	for _, step := range []struct {
		name  string
		store func() error
		want  uint64
	}{
		{"a version of this generation", func() error { return storeVersion(f, 1) }, 1},
		{"none of this generation", func() error { return f.Store(&noVersion) }, 7},
		{"a second version of this generation", func() error { return storeVersion(f, 2) }, 2},
		{"the other generation's document removed",
			func() error { return f.folder.Remove(documents.Hash(contents.record.Version.Hash)) }, 2},
		{"none of either generation", func() error { return f.Store(&noVersion) }, 0},
		{"the second version again", func() error { return storeVersion(f, 2) }, 2},
	} {
		if err := step.store(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if got := currentNumber(t, d.AfterCrash(disktest.LoseUnsynced, nil), 2); got != step.want {
			t.Errorf("%s: found the wrong version %d", step.name, got)
		}
	}
}

// A removal that fails must be retried with the next request, unless the document has been stored again.
func TestRemovalThatFailedIsTriedAgain(t *testing.T) {
	t.Parallel()
	d := disktest.New()
	f, _ := openTestFolder(t, d, 1)
	for n := 1; n <= 2; n++ {
		if err := storeVersion(f, n); err != nil {
			t.Fatal(err)
		}
	}
	one, document := storedVersion(1)
	two, _ := storedVersion(2)
	const removal = 1 // number of the only disk operation of the request
	reached := d.FailFrom(removal, os.ErrPermission)
	if err := f.Store(&config.StoreRequest{Remove: []config.Hash{one.Hash}}); err != nil || !reached() {
		t.Fatalf("store with a removal that fails: got error %v, want none after the removal was tried", err)
	}
	if err := f.Store(&config.StoreRequest{Hash: one.Hash, Document: document}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	f, contents := openTestFolder(t, d, 1)
	if contents.documents[one.Hash] == nil {
		t.Error("a document that was stored again is missing")
	}
	if err := f.Store(&config.StoreRequest{Remove: []config.Hash{one.Hash,
		two.Hash}}); err != nil { // two is current
		t.Fatal(err)
	}
	if err := storeVersion(f, 3); err != nil {
		t.Fatal(err)
	}
	if len(f.pendingRemovals) != 0 {
		t.Errorf("%d removals are pending, want none", len(f.pendingRemovals))
	}
	f.Close()
	if _, contents = openTestFolder(t, d, 1); len(contents.documents) != 1 {
		t.Errorf("%d documents are stored, want 1", len(contents.documents))
	}
}

// A record that is complete but invalid must be dropped and counted, and the folder must stay usable.
func TestUnusableRecordsAreDropped(t *testing.T) {
	t.Parallel()
	v, document := storedVersion(1)
	other, _ := storedVersion(2)
	zero := v
	zero.Number = 0
	for name, record := range map[string]any{
		"a text instead of a record": "a text",
		"another document's hash":    currentRecord{Generation: 1, Version: other},
		"version number 0":           currentRecord{Generation: 1, Version: zero},
		"null":                       nil,
		"excessive nesting":          bytes.Repeat([]byte{0x81}, 1000),
	} {
		d := disktest.New()
		folder, _, err := documents.Open(d, folderBounds)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := cbor.Marshal(record)
		if raw, ok := record.([]byte); ok {
			encoded = raw
		}
		if err = errors.Join(err, folder.Put(documents.Hash(v.Hash), document),
			folder.SetCurrent(documents.Current{Document: documents.Hash(v.Hash), Record: encoded})); err != nil {
			t.Fatal(err)
		}
		folder.Close()
		f, contents := openTestFolder(t, d, 1)
		if contents.record != nil || contents.damaged != 1 || contents.documents[v.Hash] == nil {
			t.Errorf("%s: got contents %+v, want no record, 1 damaged file and the document", name, contents)
		}
		if err := storeVersion(f, 2); err != nil {
			t.Errorf("%s: store after the record was dropped: %v", name, err)
		}
	}
}
