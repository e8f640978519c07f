package disk

import (
	"errors"
	"io/fs"
)

// ReplaceFile creates a file with this content, or replaces the one of this name. It is durable
// when ReplaceFile returns nil.
//
// The content is written under the name temporary and synced; then the file is renamed and the
// directory synced. So a crash leaves the former file or the new one, whole, and perhaps a file
// temporary, torn or whole, which the next call with that name replaces. After an error of anything
// but the last sync the former file is untouched.
func ReplaceFile(d Disk, name, temporary string, content []byte) error {
	err := writeSynced(d, temporary, content)
	if err == nil {
		err = d.Rename(temporary, name)
	}
	if err != nil {
		d.Remove(temporary)
		return err
	}
	return d.Sync()
}

// writeSynced writes a file and syncs it. A file of this name, left by a write that did not end, is
// removed first.
func writeSynced(d Disk, name string, content []byte) (err error) {
	out, err := d.Create(name)
	if errors.Is(err, fs.ErrExist) {
		if err := d.Remove(name); err != nil {
			return err
		}
		out, err = d.Create(name)
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
	if _, err := out.Write(content); err != nil {
		return err
	}
	return out.Sync()
}
