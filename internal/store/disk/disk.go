// Package disk is the small face through which what is kept reaches a folder: as few operations as the stores need, so
// that a model of a disk can stand in and tear, lose or reorder each of them. It knows nothing of what is kept.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is one folder. Names are plain, without separators. All errors are those of the system, or ErrLocked.
type Disk interface {
	Make() error                         // the folder itself, if it is not there and the one around it is
	Create(name string) (File, error)    // a new file that must not be there yet, to be written
	Open(name string) (File, error)      // to be read
	Rename(from, to string) error        // a file that is at to is replaced
	Remove(name string) error            // of a file
	Names() ([]string, error)            // of the files, in no order
	Sync() error                         // until then no create, rename or remove need outlive a crash
	Lock(name string) (io.Closer, error) // held by one process at a time, until closed or the process is gone
}

// File is one file of a folder.
type File interface {
	io.Reader
	io.Writer
	Sync() error // until then nothing that was written need outlive a crash
	Size() (int64, error)
	Close() error
}

// ErrLocked is that another process holds the lock.
var ErrLocked = errors.New("in use by another process")

// Folder is a folder of the system's file system.
type Folder string

// Make makes the folder in one that is there alone: whoever names a path that is not there at all may have meant a disk
// that is not there yet.
func (d Folder) Make() error {
	if err := os.Mkdir(string(d), 0o700); !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// file adds Size to the system's.
type file struct{ *os.File }

func (f file) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// path refuses names that would leave the folder.
func (d Folder) path(name string) (string, error) {
	if name == "" || name != filepath.Base(name) || name == "." || name == ".." {
		return "", fmt.Errorf("%q is no name of a file", name)
	}
	return filepath.Join(string(d), name), nil
}

func (d Folder) open(name string, flags int) (File, error) {
	path, err := d.path(name)
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, flags|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

// Create makes a file that only this user may read: what is learned tells of a customer's traffic.
func (d Folder) Create(name string) (File, error) {
	return d.open(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL)
}

// Open opens a file without waiting: a pipe that someone put there would never open.
func (d Folder) Open(name string) (File, error) {
	f, err := d.open(name, os.O_RDONLY|syscall.O_NONBLOCK)
	if err != nil {
		return nil, err
	}
	if info, err := f.(file).Stat(); err != nil || !info.Mode().IsRegular() {
		f.Close()
		return nil, fmt.Errorf("%s is no regular file", name)
	}
	return f, nil
}

// Rename moves a file within the folder.
func (d Folder) Rename(from, to string) error {
	a, err := d.path(from)
	if err != nil {
		return err
	}
	b, err := d.path(to)
	if err != nil {
		return err
	}
	return os.Rename(a, b)
}

// Remove deletes a file.
func (d Folder) Remove(name string) error {
	path, err := d.path(name)
	if err != nil {
		return err
	}
	return os.Remove(path)
}

// mostNames bounds a folder that is read: one that others fill must not fill this process.
const mostNames = 10000

// Names lists what is in the folder, up to a bound.
func (d Folder) Names() ([]string, error) {
	f, err := os.Open(string(d))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names, err := f.Readdirnames(mostNames)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return names, err
}

// Sync makes the folder's own entries outlive a crash.
func (d Folder) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes the folder for this process by a lock of the system on a file, which ends with the process.
func (d Folder) Lock(name string) (io.Closer, error) {
	path, err := d.path(name)
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NONBLOCK, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}
