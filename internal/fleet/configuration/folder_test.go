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

// storedVersion is the n-th version of a folder that is tested by itself.
func storedVersion(n int) (config.Version, []byte) {
	document := fmt.Append(nil, "document ", n)
	return config.Version{Number: uint64(n), Hash: config.HashOf(document), Size: len(document), Author: "a"},
		document
}

// storeVersion has the n-th version be current, and the one before the last be removed.
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

// currentNumber is the number of the version that a folder has as current; 0: none.
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
		t.Fatalf("%+v with %q", contents.record, contents.document)
	}
	return v.Number
}

// The process is killed at each operation of a request. The folder then has the version before or the new
// one, complete; once the request was answered, the new one.
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
						t.Fatalf("way %d, operation %d: version %d is found, %d was being stored", mode, op, got, n)
					}
				})
				if err := storeVersion(f, n); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				if got := currentNumber(t, d.AfterCrash(mode, rng), 1); got != uint64(n) {
					t.Fatalf("way %d: version %d was stored, %d is found", mode, n, got)
				}
			}
		}
	}
	if crashes < 1000 {
		t.Errorf("only %d points", crashes)
	}
}

// A folder has the record of another generation. It is replaced by a version of this one, and is back when
// none of this one is to be in force at a start.
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
		t.Errorf("found %+v", contents.record)
	}
	noVersion := config.StoreRequest{Current: &config.Version{}}
	for _, step := range []struct {
		name  string
		store func() error
		want  uint64
	}{
		{"a version of this generation", func() error { return storeVersion(f, 1) }, 1},
		{"none of this generation", func() error { return f.Store(&noVersion) }, 7},
		{"again one", func() error { return storeVersion(f, 2) }, 2},
		{"the other's document removed",
			func() error { return f.folder.Remove(documents.Hash(contents.record.Version.Hash)) }, 2},
		{"none of either", func() error { return f.Store(&noVersion) }, 0},
		{"and again one", func() error { return storeVersion(f, 2) }, 2},
	} {
		if err := step.store(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if got := currentNumber(t, d.AfterCrash(disktest.LoseUnsynced, nil), 2); got != step.want {
			t.Errorf("%s: version %d is found", step.name, got)
		}
	}
}

// A document can't be removed. The removal is tried again with the next request, unless the document was
// stored again meanwhile.
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
	const removal = 1 // is the only operation
	reached := d.FailFrom(removal, os.ErrPermission)
	if err := f.Store(&config.StoreRequest{Remove: []config.Hash{one.Hash}}); err != nil || !reached() {
		t.Fatalf("a removal that failed: %v", err)
	}
	if err := f.Store(&config.StoreRequest{Hash: one.Hash, Document: document}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	f, contents := openTestFolder(t, d, 1)
	if contents.documents[one.Hash] == nil {
		t.Error("a document that was stored again is gone")
	}
	if err := f.Store(&config.StoreRequest{Remove: []config.Hash{one.Hash,
		two.Hash}}); err != nil { // two is current
		t.Fatal(err)
	}
	if err := storeVersion(f, 3); err != nil {
		t.Fatal(err)
	}
	if len(f.pendingRemovals) != 0 {
		t.Errorf("%d documents are left", len(f.pendingRemovals))
	}
	f.Close()
	if _, contents = openTestFolder(t, d, 1); len(contents.documents) != 1 {
		t.Errorf("%d documents are stored", len(contents.documents))
	}
}

// A record is complete but can't be one of ours. It is dropped and counted, and the folder is usable.
func TestUnusableRecordsAreDropped(t *testing.T) {
	t.Parallel()
	v, document := storedVersion(1)
	other, _ := storedVersion(2)
	zero := v
	zero.Number = 0
	for name, record := range map[string]any{
		"no record":             "a text",
		"of another document":   currentRecord{Generation: 1, Version: other},
		"of a version 0":        currentRecord{Generation: 1, Version: zero},
		"nothing":               nil,
		"nested without an end": bytes.Repeat([]byte{0x81}, 1000),
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
			t.Errorf("%s: %+v", name, contents)
		}
		if err := storeVersion(f, 2); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
