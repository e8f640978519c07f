package snapshots

import "errors"

// Errors, to be checked with errors.Is.
var (
	// ErrNotSnapshot means that a file does not begin like a snapshot.
	ErrNotSnapshot = errors.New("is no snapshot")
	// ErrVersion means that a snapshot has a format that this program does not read.
	ErrVersion = errors.New("is of another version")
	// ErrDamaged means that a checksum is wrong or that a part is missing.
	ErrDamaged = errors.New("is damaged")
	// ErrTooLarge means that a file or section exceeds the bounds.
	ErrTooLarge = errors.New("is too big")
	// ErrNoSnapshot means that a directory has no snapshot that can be used.
	ErrNoSnapshot = errors.New("holds no snapshot")

	errReservedKind     = errors.New("kind 0 is taken")
	errSerialsExhausted = errors.New("serial numbers are used up")
)

// noSection is FileError.Section of an error that is not about one section.
const noSection = -1

// FileError is an error of one snapshot, found by Read.
type FileError struct {
	// File is the name in the directory.
	File string
	// Section is the index of the section at fault, or of the first of several; -1: the header, the
	// end or the whole file.
	Section int
	// Err is one of the errors above, or one of the disk.
	Err error
}

// Error is the text without the file's name, which callers print beside it.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }
