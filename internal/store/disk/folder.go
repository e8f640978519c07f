package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

const (
	// folderMode and fileMode give access to this user only: statistics reveal a customer's traffic.
	folderMode = 0o700
	fileMode   = 0o600

	// maxNames bounds the number of names read from a directory, as other programs may fill it.
	maxNames = 10_000
)

// Folder is a directory of the operating system's file system, by its path.
type Folder string

// Make creates the directory, but not its parents: a missing parent may mean that the disk is not
// mounted yet.
func (d Folder) Make() error {
	err := os.Mkdir(string(d), folderMode)
	if errors.Is(err, os.ErrExist) {
		return nil
	}
	return err
}

// Create creates a file that only this user may read.
func (d Folder) Create(name string) (File, error) {
	f, err := d.openFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Open opens a regular file; for other kinds it returns ErrNotRegular. It opens without blocking,
// as opening a pipe would otherwise wait for a writer.
func (d Folder) Open(name string) (File, error) {
	f, err := d.openFile(name, os.O_RDONLY|syscall.O_NONBLOCK)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	isRegular := err == nil && info.Mode().IsRegular()
	if !isRegular {
		f.Close()
		return nil, fmt.Errorf("%s %w", name, ErrNotRegular)
	}
	return f, nil
}

// Rename renames a file within the directory.
func (d Folder) Rename(from, to string) error {
	source, err := d.path(from)
	if err != nil {
		return err
	}
	target, err := d.path(to)
	if err != nil {
		return err
	}
	return os.Rename(source, target)
}

// Remove deletes a file.
func (d Folder) Remove(name string) error {
	path, err := d.path(name)
	if err != nil {
		return err
	}
	return os.Remove(path)
}

// Names lists up to maxNames names of the directory.
func (d Folder) Names() ([]string, error) {
	f, err := os.Open(string(d))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names, err := f.Readdirnames(maxNames)
	if errors.Is(err, io.EOF) {
		return names, nil
	}
	return names, err
}

// Sync calls fsync on the directory.
func (d Folder) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes an flock on a file of this name. The kernel releases it when the process ends in any
// way.
func (d Folder) Lock(name string) (io.Closer, error) {
	path, err := d.path(name)
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NONBLOCK, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}

// path returns the path of a file in the directory; ErrInvalidName for names that would lead out of
// it.
func (d Folder) path(name string) (string, error) {
	if name == "" || name != filepath.Base(name) || name == "." || name == ".." {
		return "", fmt.Errorf("%q %w", name, ErrInvalidName)
	}
	return filepath.Join(string(d), name), nil
}

func (d Folder) openFile(name string, flags int) (osFile, error) {
	path, err := d.path(name)
	if err != nil {
		return osFile{}, err
	}
	f, err := os.OpenFile(path, flags|syscall.O_CLOEXEC, fileMode)
	return osFile{f}, err
}

// osFile adds Size to os.File.
type osFile struct{ *os.File }

// Size returns the file's size in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
