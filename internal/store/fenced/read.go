package fenced

import (
	"errors"
	"io"
	"io/fs"
	"slices"

	"mintkeel/internal/store/disk"
)

// Read returns the value with the highest token that can be read whole, and that token; ErrNotFound
// if there is none.
func Read(d disk.Disk, name string) (value []byte, token uint64, err error) {
	if !isValidName(name) {
		return nil, 0, ErrInvalidName
	}
	for range readAttempts {
		versions, err := listVersions(d, name)
		if err != nil {
			return nil, 0, err
		}
		removed := false
		for _, v := range slices.Backward(versions) {
			value, err := readFile(d, v.file)
			if err == nil {
				return value, v.token, nil
			}
			removed = removed || errors.Is(err, fs.ErrNotExist)
		}
		// A file that was removed after it was listed has a successor, which a new listing shows.
		if !removed {
			break
		}
	}
	return nil, 0, ErrNotFound
}

func readFile(d disk.Disk, file string) ([]byte, error) {
	in, err := d.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	size, err := in.Size()
	if err != nil {
		return nil, err
	}
	if size > checksumBytes+MaxValueBytes {
		return nil, errDamaged
	}
	content, err := io.ReadAll(io.LimitReader(in, size))
	if err != nil {
		return nil, err
	}
	return decode(content)
}
