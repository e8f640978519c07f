package fenced

import (
	"errors"
	"io"
	"math/rand"
	"testing"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
)

// stopped is a process's way to the folder: before its n-th operation it stands still, and others go on.
type stopped struct {
	disk.Disk
	n    int
	then func()
}

func (s *stopped) step() {
	if s.n--; s.n == 0 {
		s.then()
	}
}

type stoppedFile struct {
	disk.File
	s *stopped
}

func (f stoppedFile) Write(b []byte) (int, error) { f.s.step(); return f.File.Write(b) }
func (f stoppedFile) Sync() error                 { f.s.step(); return f.File.Sync() }

func (s *stopped) Create(name string) (disk.File, error) {
	s.step()
	f, err := s.Disk.Create(name)
	return stoppedFile{f, s}, err
}
func (s *stopped) Rename(a, b string) error            { s.step(); return s.Disk.Rename(a, b) }
func (s *stopped) Remove(name string) error            { s.step(); return s.Disk.Remove(name) }
func (s *stopped) Names() ([]string, error)            { s.step(); return s.Disk.Names() }
func (s *stopped) Sync() error                         { s.step(); return s.Disk.Sync() }
func (s *stopped) Lock(name string) (io.Closer, error) { return s.Disk.Lock(name) }

// An old writer is stopped before each of its operations, the new one writes once or twice, and the old one goes on in the
// very next: readers have the new one's value, before and after, and the old one is told.
func TestLateWriter(t *testing.T) {
	for writes := 1; writes <= 2; writes++ {
		for n := 1; ; n++ {
			d := disktest.New()
			if err := Write(d, "plan", 4, []byte("before")); err != nil {
				t.Fatal(err)
			}
			came := false
			old := &stopped{Disk: d, n: n, then: func() {
				came = true
				for range writes {
					if err := Write(d, "plan", 6, []byte("new")); err != nil {
						t.Fatalf("stopped at %d: the new owner can't write: %v", n, err)
					}
				}
				if v, e, err := Read(d, "plan"); string(v) != "new" || e != 6 || err != nil {
					t.Fatalf("stopped at %d: %q of token %d, %v", n, v, e, err)
				}
			}}
			err := Write(old, "plan", 5, []byte("old"))
			if !came {
				break // it has no more operations
			}
			if !errors.Is(err, ErrSuperseded) {
				t.Errorf("stopped at %d: the old owner is told %v", n, err)
			}
			if v, e, err := Read(d, "plan"); string(v) != "new" || e != 6 || err != nil {
				t.Errorf("stopped at %d: %q of token %d, %v", n, v, e, err)
			}
			if err := Write(d, "plan", 6, []byte("newer")); err != nil {
				t.Errorf("stopped at %d: %v", n, err)
			}
			if v, _, _ := Read(d, "plan"); string(v) != "newer" {
				t.Errorf("stopped at %d: then %q", n, v)
			}
		}
	}
}

// The machine stops at each operation: the value before or the new one is there, whole.
func TestStops(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	d := disktest.New()
	Write(d, "plan", 1, []byte("before"))
	d.OnOperation(func(int) {
		for _, how := range disktest.CrashModes() {
			if v, _, err := Read(d.AfterCrash(how, rng), "plan"); err != nil || string(v) != "before" && string(v) != "after" {
				t.Errorf("%v: %q, %v", how, v, err)
			}
		}
	})
	if err := Write(d, "plan", 2, []byte("after")); err != nil {
		t.Fatal(err)
	}
	d.OnOperation(nil)
	for _, how := range disktest.CrashModes() {
		if v, e, _ := Read(d.AfterCrash(how, rng), "plan"); string(v) != "after" || e != 2 {
			t.Errorf("%v: once told as written: %q of token %d", how, v, e)
		}
	}
}

func TestNamesAndBounds(t *testing.T) {
	d := disktest.New()
	for _, name := range []string{"", "a/b", "A", "a.b", "..", string(make([]byte, 65))} {
		if err := Write(d, name, 1, nil); !errors.Is(err, ErrInvalidName) {
			t.Errorf("%q: %v", name, err)
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
		t.Errorf("files pile up: %v", names)
	}
	d.Put("a.00000000000000ff.0000000000000001", []byte("not whole"))
	if v, e, err := Read(d, "a"); string(v) != "x" || e != 1 || err != nil {
		t.Errorf("a damaged file of a high token hides the others: %q, %d, %v", v, e, err)
	}
}
