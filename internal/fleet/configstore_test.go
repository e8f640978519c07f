package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
	"mintkeel/internal/store/documents"
)

// TestConfigFolder has a controller start after its folder was emptied, or put back to an older copy: it catches up, and
// takes no older version after a newer one.
func TestConfigFolder(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	one := f.put(0, []byte("one"))
	f.inForce(one, []byte("one"), 0, 1, 2, 3)
	f.stop(3)
	older := filepath.Join(f.dir, "older")
	if err := os.CopyFS(older, os.DirFS(f.configFolder(3))); err != nil {
		t.Fatal(err)
	}
	f.start(3)
	two := f.put(0, []byte("two"))
	f.inForce(two, []byte("two"), 0, 1, 2, 3)
	for name, prepare := range map[string]func() error{
		"emptied":  func() error { return nil },
		"an older": func() error { return os.CopyFS(f.configFolder(3), os.DirFS(older)) },
	} {
		f.stop(3)
		if err := os.RemoveAll(f.configFolder(3)); err != nil {
			t.Fatal(err)
		}
		if err := prepare(); err != nil {
			t.Fatal(err)
		}
		f.hosts[3] = &fakeHost{}
		f.start(3)
		if local := f.services[3].WaitConfig(context.Background()); local.Number != 2 {
			t.Errorf("%s: started as %+v", name, local)
		}
		f.inForce(two, []byte("two"), 3)
	}
	f.neverOlder()
}

// TestConfigDamagedFolder has a controller start with files that are damaged: they are counted, and fetched anew.
func TestConfigDamagedFolder(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	v := f.put(0, []byte("one"))
	f.inForce(v, []byte("one"), 0, 1, 2, 3)
	f.stop(3)
	files, err := os.ReadDir(f.configFolder(3))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasPrefix(file.Name(), "document-") {
			if err := os.WriteFile(filepath.Join(f.configFolder(3), file.Name()), []byte("two"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.hosts[3] = &fakeHost{}
	f.start(3)
	f.inForce(v, []byte("one"), 3)
	if n := f.services[3].config.damaged.Load(); n != 2 { // the document, and the record that is worth nothing without it
		t.Errorf("%d files are counted", n)
	}
}

// TestConfigFullDisk has one controller's disk be full: it says so and keeps the version before, and takes the new one
// when there is room.
func TestConfigFullDisk(t *testing.T) {
	t.Parallel()
	full := disktest.New()
	f := startConfigFleet(t, 4, func(f *configFleet) { f.disks[3] = full })
	one := f.put(0, []byte("one"))
	f.inForce(one, []byte("one"), 0, 1, 2, 3)
	full.Fill(0)
	two := f.put(0, []byte("two"))
	f.inForce(two, []byte("two"), 0, 1, 2)
	f.statusIs(0, "not stored at one", func(s *config.Status) bool {
		return s.InForce == 3 && slices.ContainsFunc(slices.Concat(s.Behind, s.Rejected), func(r config.ControllerReport) bool {
			return r.ID == "n3" && r.Applied == one.Number && strings.Contains(r.Reason, "no space left")
		})
	})
	if !f.hosts[3].uses(one.Number, []byte("one")) || f.services[3].config.storeFailed.Load() == 0 {
		t.Error("the version before is not in force, or the failure is not counted")
	}
	full.Fill(-1)
	f.inForce(two, []byte("two"), 3)
	f.neverOlder()
}

// openedDisk tells when it is about to be opened.
type openedDisk struct {
	*disktest.Disk
	opened chan struct{}
}

// Make is the first operation of who opens the folder.
func (d *openedDisk) Make() error {
	d.opened <- struct{}{}
	return d.Disk.Make()
}

// TestConfigHangingDisk has one controller's disk hang: its part in the fleet goes on, closing does not wait for it, and
// nobody else has the folder before it is well.
func TestConfigHangingDisk(t *testing.T) {
	t.Parallel()
	hanging := &openedDisk{Disk: disktest.New(), opened: make(chan struct{}, 100)}
	f := startConfigFleet(t, 4, func(f *configFleet) { f.disks[3] = hanging })
	<-hanging.opened
	one := f.put(0, []byte("one"))
	f.inForce(one, []byte("one"), 0, 1, 2, 3)
	release := hanging.Hang()
	two := f.put(3, []byte("two"))
	f.inForce(two, []byte("two"), 0, 1, 2)
	if s, err := Call(context.Background(), f.folder(3), Request{Action: "status"}); err != nil || len(s.Members) != 4 {
		t.Errorf("while the disk hangs: %+v, %v", s, err)
	}
	if !f.hosts[3].uses(one.Number, []byte("one")) {
		t.Error("a version is in force that is not durable")
	}
	closed := make(chan struct{})
	go func() { f.stop(3); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("closing waits for the disk")
	}
	f.start(3)
	<-hanging.opened
	began := time.Now()
	f.stop(3) // while it opens the folder
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("closing took %v", took)
	}
	f.start(3) // by another process, it may be; the folder is locked, or does not answer
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if local := f.services[3].WaitConfig(ctx); local != (config.Readiness{}) {
		t.Errorf("with a disk that hangs it tells %+v", local)
	}
	release()
	f.inForce(two, []byte("two"), 3)
	f.neverOlder()
}

// configFiles are a folder's files but for the lock.
func configFiles(t *testing.T, folder string) (names []string) {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if file.Name() != "lock" {
			names = append(names, file.Name())
		}
	}
	return names
}

// storedVersion is the n-th version of a folder that is tested by itself.
func storedVersion(n int) (config.Version, []byte) {
	document := fmt.Append(nil, "document ", n)
	return config.Version{Number: uint64(n), Hash: config.HashOf(document), Size: len(document), Author: "a"}, document
}

// storeVersion has the n-th version be current, and the one before the last be removed.
func storeVersion(f *configFolder, n int) error {
	v, document := storedVersion(n)
	request := config.StoreRequest{Hash: v.Hash, Document: document, Current: &v}
	if n > 2 {
		old, _ := storedVersion(n - 2)
		request.Remove = []config.Hash{old.Hash}
	}
	return f.store(&request)
}

func openTestFolder(t *testing.T, d disk.Disk, generation uint64) (*configFolder, configContents) {
	t.Helper()
	f, contents, err := openConfigFolder(d, generation)
	if err != nil {
		t.Fatal(err)
	}
	return f, contents
}

// currentNumber is the number of the version that a folder has as current; 0: none.
func currentNumber(t *testing.T, d disk.Disk, generation uint64) uint64 {
	t.Helper()
	f, contents := openTestFolder(t, d, generation)
	defer f.close()
	if contents.record == nil {
		return 0
	}
	v, document := storedVersion(int(contents.record.Version.Number))
	if contents.record.Version != v || !bytes.Equal(contents.document, document) || !bytes.Equal(contents.documents[v.Hash], document) {
		t.Fatalf("%+v with %q", contents.record, contents.document)
	}
	return v.Number
}

// TestConfigFolderStops has the process be killed at each operation of a request: the version before or the new one is
// found, whole; once the request is answered, the new one.
func TestConfigFolderStops(t *testing.T) {
	t.Parallel()
	points := 0
	for _, how := range disktest.CrashModes() {
		for seed := range int64(4) {
			d, rng := disktest.New(), rand.New(rand.NewSource(seed))
			f, _ := openTestFolder(t, d, 1)
			for n := 1; n <= 5; n++ {
				d.OnOperation(func(op int) {
					points++
					if got := currentNumber(t, d.AfterCrash(how, rng), 1); got != uint64(n) && got != uint64(n-1) {
						t.Fatalf("way %d, operation %d: version %d is found, %d was being stored", how, op, got, n)
					}
				})
				if err := storeVersion(f, n); err != nil {
					t.Fatal(err)
				}
				d.OnOperation(nil)
				if got := currentNumber(t, d.AfterCrash(how, rng), 1); got != uint64(n) {
					t.Fatalf("way %d: version %d was stored, %d is found", how, n, got)
				}
			}
		}
	}
	if points < 1000 {
		t.Errorf("only %d points", points)
	}
}

// TestConfigFolderGenerations has the record of another generation be found, be replaced by a version of this one, and be
// back where that is not to be in force at a start.
func TestConfigFolderGenerations(t *testing.T) {
	t.Parallel()
	d := disktest.New()
	f, _ := openTestFolder(t, d, 1)
	if err := storeVersion(f, 7); err != nil {
		t.Fatal(err)
	}
	f.close()
	f, contents := openTestFolder(t, d, 2)
	if contents.record == nil || contents.record.Generation != 1 || contents.record.atLeast(2, config.Version{Number: 1}) {
		t.Errorf("found %+v", contents.record)
	}
	none := config.StoreRequest{Current: &config.Version{}}
	for _, step := range []struct {
		name  string
		store func() error
		want  uint64
	}{
		{"a version of this generation", func() error { return storeVersion(f, 1) }, 1},
		{"none of this generation", func() error { return f.store(&none) }, 7},
		{"again one", func() error { return storeVersion(f, 2) }, 2},
		{"the other's document removed", func() error { return f.folder.Remove(documents.Hash(contents.record.Version.Hash)) }, 2},
		{"none of either", func() error { return f.store(&none) }, 0},
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

// TestConfigFolderRemoval has a removal that fails be tried again with the next request, unless its document was stored
// again.
func TestConfigFolderRemoval(t *testing.T) {
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
	if err := f.store(&config.StoreRequest{Remove: []config.Hash{one.Hash}}); err != nil || !reached() {
		t.Fatalf("a removal that failed: %v", err)
	}
	if err := f.store(&config.StoreRequest{Hash: one.Hash, Document: document}); err != nil {
		t.Fatal(err)
	}
	f.close()
	f, contents := openTestFolder(t, d, 1)
	if contents.documents[one.Hash] == nil {
		t.Error("a document that was stored again is gone")
	}
	if err := f.store(&config.StoreRequest{Remove: []config.Hash{one.Hash, two.Hash}}); err != nil { // two is current
		t.Fatal(err)
	}
	if err := storeVersion(f, 3); err != nil {
		t.Fatal(err)
	}
	if len(f.unremoved) != 0 {
		t.Errorf("%d documents are left", len(f.unremoved))
	}
	f.close()
	if _, contents = openTestFolder(t, d, 1); len(contents.documents) != 1 {
		t.Errorf("%d documents are stored", len(contents.documents))
	}
}

// TestConfigFolderRecords has a record that is whole but makes no sense be dropped and counted.
func TestConfigFolderRecords(t *testing.T) {
	t.Parallel()
	v, document := storedVersion(1)
	other, _ := storedVersion(2)
	zero := v
	zero.Number = 0
	for name, record := range map[string]any{
		"no record":             "a text",
		"of another document":   configRecord{Generation: 1, Version: other},
		"of a version 0":        configRecord{Generation: 1, Version: zero},
		"nothing":               nil,
		"nested without an end": bytes.Repeat([]byte{0x81}, 1000),
	} {
		d := disktest.New()
		folder, _, err := documents.Open(d, configBounds)
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
