package fenced

import (
	"errors"
	"io/fs"

	"mintkeel/internal/store/disk"
)

// Write stores a value under a token, which no other process may use. The value is durable when
// Write returns nil. ErrSuperseded means that there is a higher token; it may come before or after
// the value was written.
func Write(d disk.Disk, name string, token uint64, value []byte) error {
	if !isValidName(name) {
		return ErrInvalidName
	}
	if len(value) > MaxValueBytes {
		return ErrTooLarge
	}
	found, err := listVersions(d, name)
	if err != nil {
		return err
	}
	next, err := nextVersion(found, name, token)
	if err != nil {
		return err
	}
	if err := writeFile(d, next.file, value); err != nil {
		return err
	}
	// Only earlier versions are removed: a writer that was late must not remove a file with a
	// higher token.
	for _, v := range found {
		if compareVersions(v, next) < 0 {
			d.Remove(v.file)
		}
	}
	// Another process may have written between the first look and the rename. The value is stored
	// then and nobody reads it; the writer has to know that.
	found, err = listVersions(d, name)
	if err == nil && len(found) > 0 && found[len(found)-1].token > token {
		return ErrSuperseded
	}
	return nil
}

// nextVersion is the version to be written after those found; ErrSuperseded if one has a higher
// token.
func nextVersion(found []version, name string, token uint64) (version, error) {
	serial := uint64(1)
	if len(found) > 0 {
		latest := found[len(found)-1]
		switch {
		case latest.token > token:
			return version{}, ErrSuperseded
		case latest.token == token:
			serial = latest.serial + 1
		}
	}
	return newVersion(name, token, serial), nil
}

// writeFile writes a file under its final name, durably.
func writeFile(d disk.Disk, file string, value []byte) error {
	temporary := file + temporarySuffix
	err := writeTemporary(d, temporary, value)
	if err == nil {
		err = d.Rename(temporary, file)
	}
	if err != nil {
		d.Remove(temporary)
		return err
	}
	return d.Sync()
}

// writeTemporary writes a file and syncs it. It replaces one that a process with the same token
// left when it ended within a write.
func writeTemporary(d disk.Disk, file string, value []byte) (err error) {
	out, err := d.Create(file)
	if errors.Is(err, fs.ErrExist) {
		if err := d.Remove(file); err != nil {
			return err
		}
		out, err = d.Create(file)
	}
	if err != nil {
		return err
	}
	defer func() {
		closeErr := out.Close()
		if err == nil {
			err = closeErr
		}
	}()
	if _, err := out.Write(encode(value)); err != nil {
		return err
	}
	return out.Sync()
}
