package disk

import (
	"errors"
	"io/fs"
)

// ReplaceFile creates a file with this content, or replaces the one of this name. The new file is
// durable when ReplaceFile returns nil.
//
// The content is written under the name temporary and synced; then the file is renamed and the
// directory synced. A crash therefore leaves the former file or the new one, whole, and perhaps the
// temporary file, torn or whole, which the next call with the same temporary name replaces. After
// an error of any step but the last sync the former file is unchanged.
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

// writeSynced writes a file and syncs it. A file of this name, left by an interrupted write, is
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
