package disktest

import (
	"errors"
	"io"
	"os"
	"slices"
	"sync"

	"mintkeel/internal/store/disk"
)

// unlimited is the value of Disk.free for a disk that never gets full.
const unlimited = -1

// ErrNoSpace is the error of a write to a full disk.
var ErrNoSpace = errors.New("no space left on device")

// Disk is a directory on the modelled disk. Its zero value is not usable; New creates one. It is
// safe for concurrent use.
type Disk struct {
	mu sync.Mutex // guards the fields below

	names         map[string]*inode // the directory as the running system sees it
	durableNames  map[string]*inode // the directory as of the last Sync
	unsyncedNames []nameChange      // changes of names since then, in order
	locks         map[string]bool

	operations  int           // number of operations so far
	onOperation func(int)     // called before each operation, with its number
	free        int           // bytes that may still be written, or unlimited
	failure     error         // of every operation; nil: none
	failFrom    int           // number of the first operation that fails with failFromErr
	failFromErr error         // nil: none
	hang        chan struct{} // operations wait until it is closed; nil: they don't wait
}

// inode is the content of a file, which may have any number of names.
type inode struct {
	synced   []byte
	unsynced [][]byte // writes since the last File.Sync
}

func (n *inode) content() []byte {
	content := slices.Clone(n.synced)
	for _, written := range n.unsynced {
		content = append(content, written...)
	}
	return content
}

// nameChange is one change of the directory: it binds name to node, or removes it if node is nil.
type nameChange struct {
	name string
	node *inode
}

// New returns an empty directory on a disk that works and never gets full.
func New() *Disk {
	return &Disk{
		names:        map[string]*inode{},
		durableNames: map[string]*inode{},
		locks:        map[string]bool{},
		free:         unlimited,
	}
}

// Put stores a file durably.
func (d *Disk) Put(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := &inode{synced: slices.Clone(content)}
	d.names[name] = node
	d.durableNames[name] = node
}

// Get returns a file's content as the running system sees it; nil if there is no such file.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		return nil
	}
	return node.content()
}

// Make counts as an operation but changes nothing, as the modelled directory always exists.
func (d *Disk) Make() error {
	err := d.beginOperation()
	d.mu.Unlock()
	return err
}

// Create creates an empty file, whose name is not durable before Sync.
func (d *Disk) Create(name string) (disk.File, error) {
	err := d.beginOperation()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, os.ErrExist
	}
	node := &inode{}
	d.names[name] = node
	d.unsyncedNames = append(d.unsyncedNames, nameChange{name, node})
	return &file{disk: d, node: node}, nil
}

// Open opens a file for reading from its start.
func (d *Disk) Open(name string) (disk.File, error) {
	err := d.beginOperation()
	defer d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if d.names[name] == nil {
		return nil, os.ErrNotExist
	}
	return &file{disk: d, node: d.names[name]}, nil
}

// Rename renames a file; a crash before Sync may leave it under both names, either or none.
func (d *Disk) Rename(from, to string) error {
	err := d.beginOperation()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	node := d.names[from]
	if node == nil {
		return os.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = node
	d.unsyncedNames = append(d.unsyncedNames, nameChange{to, node}, nameChange{from, nil})
	return nil
}

// Remove deletes a file; a crash before Sync may undo that.
func (d *Disk) Remove(name string) error {
	err := d.beginOperation()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	if d.names[name] == nil {
		return os.ErrNotExist
	}
	delete(d.names, name)
	d.unsyncedNames = append(d.unsyncedNames, nameChange{name, nil})
	return nil
}

// Names lists the files' names.
func (d *Disk) Names() ([]string, error) {
	err := d.beginOperation()
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

// Sync makes all changes of names durable, but no content.
func (d *Disk) Sync() error {
	err := d.beginOperation()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	for _, change := range d.unsyncedNames {
		change.apply(d.durableNames)
	}
	d.unsyncedNames = nil
	return nil
}

func (c nameChange) apply(names map[string]*inode) {
	if c.node == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.node
}

// Lock takes a lock, which is not held on the disk that AfterCrash returns.
func (d *Disk) Lock(name string) (io.Closer, error) {
	err := d.beginOperation()
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
