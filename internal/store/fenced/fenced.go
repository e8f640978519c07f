// Package fenced stores values in a folder that several processes may write to, of which each has a fencing token that only
// rises. A file system checks no tokens: between a writer's look at the folder and its write anything may happen. So the
// token stands in the file's name, and readers take the highest: what an old writer writes late is a file that nobody reads,
// and the next write removes it. It knows no meaning of what it stores.
//
// A file NAME.TOKEN.SERIAL, numbers as 16 hexadecimal digits, holds a checksum of 8 bytes and the value.
package fenced

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
)

// Errors. ErrSuperseded is that somebody has written with a higher token: the writer that gets it holds the value no more.
var (
	ErrSuperseded  = errors.New("was written with a higher token")
	ErrNotFound    = errors.New("was never written")
	ErrInvalidName = errors.New("is no name of a value: 1 to 64 small letters, digits and '-'")
	ErrTooLarge    = errors.New("is too big")
)

// MaxValueBytes is how many bytes a value may have.
const MaxValueBytes = 4 << 20

type version struct {
	token, serial uint64
	name          string
}

func compare(a, b version) int {
	return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.serial, b.serial))
}

func wellNamed(name string) bool {
	return len(name) > 0 && len(name) <= 64 && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	})
}

// versions are a value's files, the latest last.
func versions(d disk.Disk, name string) (list []version, err error) {
	names, err := d.Names()
	if err != nil {
		return nil, err
	}
	for _, file := range names {
		parts := strings.Split(file, ".")
		if len(parts) != 3 || parts[0] != name || len(parts[1]) != 16 || len(parts[2]) != 16 {
			continue
		}
		token, err1 := strconv.ParseUint(parts[1], 16, 64)
		serial, err2 := strconv.ParseUint(parts[2], 16, 64)
		if err1 == nil && err2 == nil {
			list = append(list, version{token, serial, file})
		}
	}
	slices.SortFunc(list, compare)
	return list, nil
}

// Write stores a value under a token, durably. Two processes must not have the same token. After ErrSuperseded, or any error, the
// value may be there or not; if it is, it counts for as little as its token.
func Write(d disk.Disk, name string, token uint64, value []byte) error {
	if !wellNamed(name) {
		return ErrInvalidName
	}
	if len(value) > MaxValueBytes {
		return ErrTooLarge
	}
	list, err := versions(d, name)
	if err != nil {
		return err
	}
	own := version{token: token, serial: 1}
	if n := len(list); n > 0 {
		switch last := list[n-1]; {
		case last.token > token:
			return ErrSuperseded
		case last.token == token:
			own.serial = last.serial + 1
		}
	}
	own.name = fmt.Sprintf("%s.%016x.%016x", name, token, own.serial)
	unfinished := own.name + ".new"
	if err := write(d, unfinished, value); err != nil {
		d.Remove(unfinished)
		return err
	}
	if err := d.Rename(unfinished, own.name); err != nil {
		d.Remove(unfinished)
		return err
	}
	if err := d.Sync(); err != nil {
		return err
	}
	for _, old := range list { // none that is above this one: a late writer removes nobody's but its forerunners'
		if compare(old, own) < 0 {
			d.Remove(old.name)
		}
	}
	if list, err = versions(d, name); err == nil && len(list) > 0 && list[len(list)-1].token > token {
		return ErrSuperseded // it came between: who wrote this is told so
	}
	return nil
}

func write(d disk.Disk, name string, value []byte) (err error) {
	out, err := d.Create(name)
	if errors.Is(err, fs.ErrExist) { // of a process of this token that ended within a write
		if err = d.Remove(name); err == nil {
			out, err = d.Create(name)
		}
	}
	if err != nil {
		return err
	}
	defer func() {
		if closed := out.Close(); err == nil {
			err = closed
		}
	}()
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(value)), xxhash.Sum64(value))
	if _, err := out.Write(append(b, value...)); err != nil {
		return err
	}
	return out.Sync()
}

// Read is the value of the highest token that can be read whole, with that token.
func Read(d disk.Disk, name string) (value []byte, token uint64, err error) {
	if !wellNamed(name) {
		return nil, 0, ErrInvalidName
	}
	for range 3 { // a file may be removed between the look and the read, as a later one is there
		list, err := versions(d, name)
		if err != nil {
			return nil, 0, err
		}
		gone := false
		for _, v := range slices.Backward(list) {
			value, err := read(d, v.name)
			if err == nil {
				return value, v.token, nil
			}
			gone = gone || errors.Is(err, fs.ErrNotExist)
		}
		if !gone {
			break
		}
	}
	return nil, 0, ErrNotFound
}

var errSum = errors.New("is damaged")

func read(d disk.Disk, name string) ([]byte, error) {
	f, err := d.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size < 8 || size > 8+MaxValueBytes {
		return nil, errSum
	}
	b, err := io.ReadAll(io.LimitReader(f, size))
	if err != nil || len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return nil, cmp.Or(err, errSum)
	}
	return b[8:], nil
}
