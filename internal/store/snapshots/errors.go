package snapshots

import "errors"

// Errors, for use with errors.Is.
var (
	// ErrNotSnapshot means that a file does not begin like a snapshot.
	ErrNotSnapshot = errors.New("is not a snapshot")
	// ErrVersion means that a snapshot has a format that this program does not read.
	ErrVersion = errors.New("has an unsupported version")
	// ErrDamaged means that a checksum is wrong or that a part is missing.
	ErrDamaged = errors.New("is damaged")
	// ErrTooLarge means that a file or section exceeds the bounds.
	ErrTooLarge = errors.New("is too large")
	// ErrNoSnapshot means that a directory has no snapshot that can be used.
	ErrNoSnapshot = errors.New("holds no snapshot")

	errReservedKind     = errors.New("section kind 0 is reserved")
	errSerialsExhausted = errors.New("serial numbers are exhausted")
)

// noSection is FileError.Section of an error that is not about one section.
const noSection = -1

// FileError is an error that Read returns for one snapshot.
type FileError struct {
	// File is the name in the directory.
	File string
	// Section is the index of the damaged section, or of the first of several; -1: the header, the
	// end or the whole file.
	Section int
	// Err is one of the errors above, or one of the disk.
	Err error
}

// Error returns the text without the file's name, which callers print in addition.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }
