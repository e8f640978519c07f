package fenced

import (
	"errors"
	"io"
	"math/rand"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

// pausedDisk is the directory as used by one process, which is paused before its n-th operation
// while whilePaused runs.
type pausedDisk struct {
	disk.Disk
	operationsLeft int
	whilePaused    func()
}

func (s *pausedDisk) beforeOperation() {
	s.operationsLeft--
	if s.operationsLeft == 0 {
		s.whilePaused()
	}
}

type pausedFile struct {
	disk.File
	pausedDisk *pausedDisk
}

func (f pausedFile) Write(b []byte) (int, error) {
	f.pausedDisk.beforeOperation()
	return f.File.Write(b)
}

func (f pausedFile) Sync() error {
	f.pausedDisk.beforeOperation()
	return f.File.Sync()
}

func (s *pausedDisk) Create(name string) (disk.File, error) {
	s.beforeOperation()
	f, err := s.Disk.Create(name)
	return pausedFile{f, s}, err
}

func (s *pausedDisk) Rename(a, b string) error {
	s.beforeOperation()
	return s.Disk.Rename(a, b)
}

func (s *pausedDisk) Remove(name string) error {
	s.beforeOperation()
	return s.Disk.Remove(name)
}

func (s *pausedDisk) Names() ([]string, error) {
	s.beforeOperation()
	return s.Disk.Names()
}

func (s *pausedDisk) Sync() error {
	s.beforeOperation()
	return s.Disk.Sync()
}

func (s *pausedDisk) Lock(name string) (io.Closer, error) { return s.Disk.Lock(name) }

// A writer is paused before any one of its operations and loses its lease. The new owner writes once
// or twice, and then the old one continues. Readers get the new owner's value before and after that,
// and the old writer gets ErrSuperseded.
func TestPausedWriterWithAnOldToken(t *testing.T) {
	for writes := 1; writes <= 2; writes++ {
		for n := 1; ; n++ {
			d := disktest.New()
			if err := Write(d, "plan", 4, []byte("before")); err != nil {
				t.Fatal(err)
			}
			paused := false
			pausedWriter := &pausedDisk{Disk: d, operationsLeft: n, whilePaused: func() {
				paused = true
				for range writes {
					if err := Write(d, "plan", 6, []byte("new")); err != nil {
						t.Fatalf("paused at operation %d: the new owner's Write: %v", n, err)
					}
				}
				if value, token, err := Read(d, "plan"); string(value) != "new" || token != 6 || err != nil {
					t.Fatalf("paused at operation %d: read %q with token %d, %v; want \"new\" with token 6", n, value, token, err)
				}
			}}
			err := Write(pausedWriter, "plan", 5, []byte("old"))
			if !paused {
				break // Write has fewer than n operations
			}
			if !errors.Is(err, ErrSuperseded) {
				t.Errorf("paused at operation %d: the old owner's Write returned %v, want ErrSuperseded", n, err)
			}
			if value, token, err := Read(d, "plan"); string(value) != "new" || token != 6 || err != nil {
				t.Errorf("resumed at operation %d: read %q with token %d, %v; want \"new\" with token 6", n, value, token, err)
			}
			if err := Write(d, "plan", 6, []byte("newer")); err != nil {
				t.Errorf("resumed at operation %d: the new owner's next Write: %v", n, err)
			}
			if value, _, _ := Read(d, "plan"); string(value) != "newer" {
				t.Errorf("resumed at operation %d: read %q after the new owner's next Write, want \"newer\"", n, value)
			}
		}
	}
}

// The machine crashes at any operation of a write. The previous value or the new one is read, whole.
func TestCrashAtEveryOperation(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	d := disktest.New()
	Write(d, "plan", 1, []byte("before"))
	d.OnOperation(func(int) {
		for _, mode := range disktest.CrashModes() {
			value, _, err := Read(d.AfterCrash(mode, rng), "plan")
			if err != nil || string(value) != "before" && string(value) != "after" {
				t.Errorf("crash mode %v during Write: read %q, %v; want \"before\" or \"after\"", mode, value, err)
			}
		}
	})
	if err := Write(d, "plan", 2, []byte("after")); err != nil {
		t.Fatal(err)
	}
	d.OnOperation(nil)
	for _, mode := range disktest.CrashModes() {
		if value, token, _ := Read(d.AfterCrash(mode, rng), "plan"); string(value) != "after" || token != 2 {
			t.Errorf("crash mode %v after Write: read %q with token %d, want \"after\" with token 2", mode, value, token)
		}
	}
}

// Invalid names and sizes are rejected, old files are removed, and a damaged file with a high token
// does not hide the value.
func TestNamesBoundsAndLeftFiles(t *testing.T) {
	d := disktest.New()
	for _, name := range []string{"", "a/b", "A", "a.b", "..", string(make([]byte, 65))} {
		if err := Write(d, name, 1, nil); !errors.Is(err, ErrInvalidName) {
			t.Errorf("Write with the name %q returned %v, want ErrInvalidName", name, err)
		}
	}
	if err := Write(d, "a", 1, make([]byte, MaxValueBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
	if _, _, err := Read(d, "a"); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	for range 5 {
		Write(d, "a", 1, []byte("x"))
		Write(d, "ab", 9, []byte("y"))
	}
	names, _ := d.Names()
	if len(names) != 2 {
		t.Errorf("files after 5 writes of 2 values are %v, want 2", names)
	}
	d.Put("a.00000000000000ff.0000000000000001", []byte("not whole"))
	if value, token, err := Read(d, "a"); string(value) != "x" || token != 1 || err != nil {
		t.Errorf("beside a damaged file with a high token: read %q with token %d, %v; want \"x\" with token 1", value, token, err)
	}
}
