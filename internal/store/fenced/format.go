package fenced

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
)

const (
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 4 << 20

	maxNameLength   = 64
	checksumBytes   = 8
	numberDigits    = 16 // of token and serial in a file's name
	temporarySuffix = ".new"

	// readAttempts bounds how often Read lists the directory; it lists it again if files were
	// removed before it could open them.
	readAttempts = 3
)

// Errors, for use with errors.Is.
var (
	// ErrSuperseded means that the value was written with a higher token: the writer that gets this
	// error no longer owns the value.
	ErrSuperseded = errors.New("was written with a higher token")
	// ErrNotFound means that no file of the value can be read whole.
	ErrNotFound = errors.New("was never written")
	// ErrInvalidName means that a name can't be that of a value.
	ErrInvalidName = errors.New("is not a valid name: 1 to 64 lower-case letters, digits and '-'")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("is too large")

	errDamaged = errors.New("is damaged")
)

// version is one file of a value.
type version struct {
	token  uint64
	serial uint64
	file   string // name in the directory
}

func newVersion(name string, token, serial uint64) version {
	file := fmt.Sprintf("%s.%0*x.%0*x", name, numberDigits, token, numberDigits, serial)
	return version{token: token, serial: serial, file: file}
}

// compareVersions orders by token, then by serial.
func compareVersions(a, b version) int {
	return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.serial, b.serial))
}

// parseVersion returns the version in the file name of the value called name; ok is false for other
// files.
func parseVersion(file, name string) (v version, ok bool) {
	parts := strings.Split(file, ".")
	if len(parts) != 3 || parts[0] != name || len(parts[1]) != numberDigits ||
		len(parts[2]) != numberDigits {
		return version{}, false
	}
	token, tokenErr := strconv.ParseUint(parts[1], 16, 64)
	serial, serialErr := strconv.ParseUint(parts[2], 16, 64)
	return version{token, serial, file}, tokenErr == nil && serialErr == nil
}

// listVersions lists the files of a value, the latest version last.
func listVersions(d disk.Disk, name string) ([]version, error) {
	files, err := d.Names()
	if err != nil {
		return nil, err
	}
	var versions []version
	for _, file := range files {
		if v, ok := parseVersion(file, name); ok {
			versions = append(versions, v)
		}
	}
	slices.SortFunc(versions, compareVersions)
	return versions, nil
}

func isValidName(name string) bool {
	return len(name) > 0 && len(name) <= maxNameLength &&
		!strings.ContainsFunc(name, func(r rune) bool {
			isLetter := r >= 'a' && r <= 'z'
			isDigit := r >= '0' && r <= '9'
			return !isLetter && !isDigit && r != '-'
		})
}

func encode(value []byte) []byte {
	content := make([]byte, 0, checksumBytes+len(value))
	content = binary.BigEndian.AppendUint64(content, xxhash.Sum64(value))
	return append(content, value...)
}

// decode returns the value in a file's content; errDamaged if the checksum does not match.
func decode(content []byte) ([]byte, error) {
	if len(content) < checksumBytes {
		return nil, errDamaged
	}
	value := content[checksumBytes:]
	if binary.BigEndian.Uint64(content) != xxhash.Sum64(value) {
		return nil, errDamaged
	}
	return value, nil
}
