package disktest

import (
	"io"
	"slices"
)

// file is an open file of a Disk.
type file struct {
	disk *Disk
	node *inode
	at   int // offset of the next read, in bytes
}

func (f *file) Read(b []byte) (int, error) {
	err := f.disk.beginOperation()
	defer f.disk.mu.Unlock()
	if err != nil {
		return 0, err
	}
	content := f.node.content()
	if f.at >= len(content) {
		return 0, io.EOF
	}
	n := copy(b, content[f.at:])
	f.at += n
	return n, nil
}

// Write appends to the file. On a full disk it writes as many bytes as fit, like a file system.
func (f *file) Write(b []byte) (int, error) {
	err := f.disk.beginOperation()
	defer f.disk.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if f.disk.free != unlimited {
		n = min(n, f.disk.free)
		f.disk.free -= n
	}
	f.node.unsynced = append(f.node.unsynced, slices.Clone(b[:n]))
	if n < len(b) {
		return n, ErrNoSpace
	}
	return n, nil
}

func (f *file) Sync() error {
	err := f.disk.beginOperation()
	defer f.disk.mu.Unlock()
	if err != nil {
		return err
	}
	f.node.synced = f.node.content()
	f.node.unsynced = nil
	return nil
}

func (f *file) Size() (int64, error) {
	err := f.disk.beginOperation()
	defer f.disk.mu.Unlock()
	return int64(len(f.node.content())), err
}

func (f *file) Close() error { return nil }
