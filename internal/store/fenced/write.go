package fenced

import "mintkeel/internal/store/disk"

// Write stores a value with a token, which no other process may use. The value is durable when
// Write returns nil. ErrSuperseded means that there is a file with a higher token; Write may return
// it before or after it has written the value.
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
	err = disk.ReplaceFile(d, next.file, next.file+temporarySuffix, encode(value))
	if err != nil {
		return err
	}
	// Only earlier versions are removed: a delayed writer must not remove a file with a higher token.
	for _, v := range found {
		if compareVersions(v, next) < 0 {
			d.Remove(v.file)
		}
	}
	// Another process may have written a higher token between the first listing and the rename. The
	// value is then stored but never read, which the writer has to know.
	found, err = listVersions(d, name)
	if err == nil && len(found) > 0 && found[len(found)-1].token > token {
		return ErrSuperseded
	}
	return nil
}

// nextVersion returns the version to write, given the existing ones; ErrSuperseded if one of these
// has a higher token.
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
