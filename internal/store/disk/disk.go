package disk

import (
	"errors"
	"io"
)

// Disk is one directory. Names are plain file names, without separators. Errors are ErrLocked,
// ErrInvalidName, ErrNotRegular and those of the operating system (fs.ErrNotExist, fs.ErrExist and
// others).
type Disk interface {
	// Make creates the directory itself, unless it exists. Its parent must exist.
	Make() error
	// Create creates a file for writing; it fails with fs.ErrExist if the name exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Rename renames a file and replaces the one at the new name, if any.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Names lists the names in the directory, in no particular order.
	Names() ([]string, error)
	// Sync makes all earlier creates, renames and removes durable.
	Sync() error
	// Lock takes an exclusive lock, which is released by Close or the end of the process; ErrLocked
	// if another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is an open file of a Disk.
type File interface {
	io.Reader
	io.Writer
	// Sync makes all earlier writes durable.
	Sync() error
	// Size returns the file's size in bytes.
	Size() (int64, error)
	Close() error
}

// Errors in addition to those of the operating system.
var (
	// ErrLocked means that another process holds the lock.
	ErrLocked = errors.New("in use by another process")
	// ErrInvalidName means that a name is empty or would lead out of the directory.
	ErrInvalidName = errors.New("is not a valid file name")
	// ErrNotRegular means that a name belongs to a directory, pipe, socket or device.
	ErrNotRegular = errors.New("is not a regular file")
)
