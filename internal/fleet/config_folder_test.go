package fleet

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/store/disk/disktest"
)

// A controller whose folder was emptied or restored from an older copy must catch up, and must never apply
// an older version after a newer one.
func TestEmptiedOrOlderFolderCatchesUp(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	f.stop(3)
	olderCopy := filepath.Join(f.dir, "older")
	if err := os.CopyFS(olderCopy, os.DirFS(f.configFolder(3))); err != nil {
		t.Fatal(err)
	}
	f.start(3)
	two := f.put(0, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2, 3)
	for name, prepare := range map[string]func() error{
		"emptied":  func() error { return nil },
		"an older": func() error { return os.CopyFS(f.configFolder(3), os.DirFS(olderCopy)) },
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
			t.Errorf("%s folder: started with %+v, want version 2", name, local)
		}
		f.awaitInForce(two, []byte("two"), 3)
	}
	f.checkVersionsNeverDecrease()
}

// Damaged files in the folder must be counted and dropped at a start, and their documents fetched again.
func TestDamagedConfigurationFilesAreDropped(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	v := f.put(0, []byte("one"))
	f.awaitInForce(v, []byte("one"), 0, 1, 2, 3)
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
	f.awaitInForce(v, []byte("one"), 3)
	// The damaged document makes the record that names it invalid too.
	if n := f.services[3].config.DamagedFiles(); n != 2 {
		t.Errorf("%d damaged files were counted, want 2", n)
	}
}

// A controller with a full disk must report that, keep the previous version in force, and apply the new one
// once there is space.
func TestFullDiskKeepsTheVersionInForce(t *testing.T) {
	t.Parallel()
	fullDisk := disktest.New()
	f := startConfigFleet(t, 4, func(f *configFleet) { f.disks[3] = fullDisk })
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	fullDisk.Fill(0)
	two := f.put(0, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2)
	f.awaitStatus(0, "n3 reports that it could not store the version", func(s *config.Status) bool {
		return s.InForce == 3 && slices.ContainsFunc(slices.Concat(s.Behind, s.Rejected),
			func(r config.ControllerReport) bool {
				return r.ID == "n3" && r.Applied == one.Number && strings.Contains(r.Reason, "no space left")
			})
	})
	if !f.hosts[3].usesVersion(one.Number, []byte("one")) || f.services[3].config.StoreFailures() == 0 {
		t.Error("the previous version is not in force, or the store failure was not counted")
	}
	fullDisk.Fill(-1)
	f.awaitInForce(two, []byte("two"), 3)
	f.checkVersionsNeverDecrease()
}

// openSignalDisk is a disk that signals when it is about to be opened.
type openSignalDisk struct {
	*disktest.Disk
	opened chan struct{}
}

// Make is the first operation when a folder is opened.
func (d *openSignalDisk) Make() error {
	d.opened <- struct{}{}
	return d.Disk.Make()
}

// A hanging disk must not block the controller's session or Close, and must keep the folder locked until it
// works again, so that no other process opens it.
func TestHangingDiskHoldsUpNothingElse(t *testing.T) {
	t.Parallel()
	hangingDisk := &openSignalDisk{Disk: disktest.New(), opened: make(chan struct{}, 100)}
	f := startConfigFleet(t, 4, func(f *configFleet) { f.disks[3] = hangingDisk })
	<-hangingDisk.opened
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	releaseDisk := hangingDisk.Hang()
	two := f.put(3, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2)
	if s, err := control.Call(context.Background(), f.folder(3),
		control.Request{Action: "status"}); err != nil || len(s.Members) != 4 {
		t.Errorf("while the disk hangs: got status %+v, %v, want one with 4 members", s, err)
	}
	if !f.hosts[3].usesVersion(one.Number, []byte("one")) {
		t.Error("a version is in force that is not durable, want the previous one")
	}
	closed := make(chan struct{})
	go func() { f.stop(3); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("Close waits for the hanging disk")
	}
	f.start(3)
	<-hangingDisk.opened
	began := time.Now()
	f.stop(3) // while it opens the folder
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("Close took %v while the folder was being opened, want at most 5s", took)
	}
	f.start(3) // as another process would; the folder is locked, or its disk hangs
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if local := f.services[3].WaitConfig(ctx); local != (config.Readiness{}) {
		t.Errorf("with a hanging disk the readiness is %+v, want the zero value", local)
	}
	releaseDisk()
	f.awaitInForce(two, []byte("two"), 3)
	f.checkVersionsNeverDecrease()
}

// configFiles returns the names of a folder's files except for the lock.
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
