// Package disktest is a model of a disk: what was not synced may be lost, torn or kept out of order when the machine
// stops, and any operation may fail. It is a stand-in for tests.
package disktest

import (
	"io"
	"math/rand"
	"os"
	"slices"
	"sync"

	"mintkeel/internal/store/disk"
)

// Disk is one folder on such a disk. Its zero value is not usable.
type Disk struct {
	mu       sync.Mutex
	names    map[string]*inode // as the running system sees them
	safe     map[string]*inode // as they outlive a stop
	loose    []change          // of names, that were not synced
	ops      int
	full     int   // bytes that may still be written; below 0: as many as one likes
	fail     error // of every operation
	failFrom int   // the first that fails with
	failWith error
	hang     chan struct{}
	locks    map[string]bool
	stop     func(op int) // is told of each operation before it is done
}

// inode is a file's content: what is safe, and the writes since.
type inode struct {
	safe  []byte
	loose [][]byte
}

func (n *inode) content() []byte {
	out := slices.Clone(n.safe)
	for _, w := range n.loose {
		out = append(out, w...)
	}
	return out
}

// change is one of a folder's names: node is nil for a removal.
type change struct {
	name string
	node *inode
}

// New is an empty folder.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, safe: map[string]*inode{}, full: -1, locks: map[string]bool{}}
}

// Fill lets so many bytes more be written; below 0 as many as one likes.
func (d *Disk) Fill(left int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = left
}

// Fail has every operation fail from now on; nil ends it.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = err
}

// FailFrom has operations fail from the n-th on, counted from now. The returned function ends it, and tells whether
// one failed.
func (d *Disk) FailFrom(n int, err error) (reached func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failFrom, d.failWith = d.ops+n, err
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		failed := d.ops >= d.failFrom
		d.failWith = nil
		return failed
	}
}

// Hang has every operation wait until the returned function is called.
func (d *Disk) Hang() (release func()) {
	hang := make(chan struct{})
	d.mu.Lock()
	d.hang = hang
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		d.hang = nil
		d.mu.Unlock()
		close(hang)
	}
}

// OnOperation has each operation told to watch, by its number, before it is done.
func (d *Disk) OnOperation(watch func(op int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stop = watch
}

// op is what all operations begin with; the lock is held after it.
func (d *Disk) op() error {
	d.mu.Lock()
	if hang := d.hang; hang != nil {
		d.mu.Unlock()
		<-hang
		d.mu.Lock()
	}
	if d.ops++; d.stop != nil {
		d.stop(d.ops)
	}
	if d.failWith != nil && d.ops >= d.failFrom {
		return d.failWith
	}
	return d.fail
}

// Put puts a file there, safe at once.
func (d *Disk) Put(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{safe: slices.Clone(content)}
	d.names[name], d.safe[name] = n, n
}

// Get is a file's content as the running system sees it; nil if it is not there.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return n.content()
	}
	return nil
}

// CrashMode a stop treats what was not synced.
type CrashMode int

const (
	LoseUnsynced        CrashMode = iota // none of it is there
	KeepUnsynced                         // all of it
	KeepNamesOnly                        // names without content
	KeepContentOnly                      // content under old names
	TearLastWrite                        // the last write of each file is cut
	LoseFirstWrite                       // a file's first write is lost, a later one is there
	LoseAtRandom                         // each change for itself
	LoseFirstNameChange                  // the first change of names is lost, the others are there
	crashModeCount
)

// CrashModes are all ways.
func CrashModes() (all []CrashMode) {
	for h := range crashModeCount {
		all = append(all, h)
	}
	return all
}

// AfterCrash is the disk as it is found after a stop at this moment. It may be called from watch.
func (d *Disk) AfterCrash(how CrashMode, rng *rand.Rand) *Disk {
	after := New()
	kept := map[*inode]*inode{}
	survive := func(n *inode) *inode {
		if kept[n] == nil {
			kept[n] = &inode{safe: n.after(how, rng)}
		}
		return kept[n]
	}
	names := map[string]*inode{}
	for name, n := range d.safe {
		names[name] = n
	}
	for i, c := range d.loose {
		keep := how == KeepUnsynced || how == KeepNamesOnly || how == TearLastWrite || how == LoseFirstWrite || how == LoseFirstNameChange && i > 0 ||
			how == LoseAtRandom && rng.Intn(2) == 0
		if keep && c.node == nil {
			delete(names, c.name)
		} else if keep {
			names[c.name] = c.node
		}
	}
	for name, n := range names {
		m := survive(n)
		after.names[name], after.safe[name] = m, m
	}
	return after
}

func (n *inode) after(how CrashMode, rng *rand.Rand) []byte {
	out := slices.Clone(n.safe)
	for i, w := range n.loose {
		last := i == len(n.loose)-1
		switch {
		case how == LoseUnsynced || how == KeepNamesOnly:
		case how == TearLastWrite && last:
			out = append(out, w[:rng.Intn(len(w)+1)]...)
		case how == LoseFirstWrite && i == 0 && len(w) > 0: // a hole where it should be
			out = append(out, make([]byte, len(w))...)
		case how == LoseAtRandom && rng.Intn(3) == 0:
			out = append(out, w[:rng.Intn(len(w)+1)]...)
			return out
		case how == LoseAtRandom && rng.Intn(3) == 0:
			out = append(out, make([]byte, len(w))...)
		default:
			out = append(out, w...)
		}
	}
	return out
}

type file struct {
	disk *Disk
	node *inode
	at   int
	off  bool
}

// Create is that of disk.Disk, as are Open and the others.
func (d *Disk) Create(name string) (disk.File, error) {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, os.ErrExist
	}
	n := &inode{}
	d.names[name] = n
	d.loose = append(d.loose, change{name, n})
	return &file{disk: d, node: n}, nil
}

func (d *Disk) Make() error {
	err := d.op()
	d.mu.Unlock()
	return err
}

func (d *Disk) Open(name string) (disk.File, error) {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if d.names[name] == nil {
		return nil, os.ErrNotExist
	}
	return &file{disk: d, node: d.names[name], off: true}, nil
}

func (d *Disk) Rename(from, to string) error {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return os.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	d.loose = append(d.loose, change{to, n}, change{from, nil})
	return nil
}

func (d *Disk) Remove(name string) error {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	if d.names[name] == nil {
		return os.ErrNotExist
	}
	delete(d.names, name)
	d.loose = append(d.loose, change{name, nil})
	return nil
}

func (d *Disk) Names() ([]string, error) {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var names []string
	for name := range d.names {
		names = append(names, name)
	}
	return names, nil
}

func (d *Disk) Sync() error {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	for _, c := range d.loose {
		if c.node == nil {
			delete(d.safe, c.name)
		} else {
			d.safe[c.name] = c.node
		}
	}
	d.loose = nil
	return nil
}

type lock struct {
	disk *Disk
	name string
}

func (l lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	delete(l.disk.locks, l.name)
	return nil
}

func (d *Disk) Lock(name string) (io.Closer, error) {
	err := d.op()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if d.locks[name] {
		return nil, disk.ErrLocked
	}
	d.locks[name] = true
	return lock{d, name}, nil
}

func (f *file) Read(b []byte) (int, error) {
	err := f.disk.op()
	defer f.disk.mu.Unlock()
	if err != nil {
		return 0, err
	}
	all := f.node.content()
	if f.at >= len(all) {
		return 0, io.EOF
	}
	n := copy(b, all[f.at:])
	f.at += n
	return n, nil
}

// ErrNoSpace is that of a disk without room.
var ErrNoSpace = errFull{}

type errFull struct{}

func (errFull) Error() string { return "no space left on device" }

func (f *file) Write(b []byte) (int, error) {
	err := f.disk.op()
	defer f.disk.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if f.disk.full >= 0 {
		n = min(n, f.disk.full)
		f.disk.full -= n
	}
	f.node.loose = append(f.node.loose, slices.Clone(b[:n]))
	if n < len(b) {
		return n, ErrNoSpace
	}
	return n, nil
}

func (f *file) Sync() error {
	err := f.disk.op()
	defer f.disk.mu.Unlock()
	if err != nil {
		return err
	}
	f.node.safe, f.node.loose = f.node.content(), nil
	return nil
}

func (f *file) Size() (int64, error) {
	err := f.disk.op()
	defer f.disk.mu.Unlock()
	return int64(len(f.node.content())), err
}

func (f *file) Close() error { return nil }
