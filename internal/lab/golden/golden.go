// Package golden compares the output of tests with files under testdata that an earlier build
// wrote. The files are rewritten only by `go test PACKAGE -update`; CI never sets that flag.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

// Updating reports whether golden files are to be rewritten.
func Updating() bool { return *update }

// File checks that content equals the file testdata/name.
func File(t *testing.T, name string, content []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		Write(t, path, content)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	switch {
	case bytes.Equal(content, want):
	case utf8.Valid(content) && utf8.Valid(want):
		t.Errorf("%s differs from the stored file:\ngot:\n%s\nwant:\n%s", name, content, want)
	default:
		t.Errorf("%s differs from the stored file:\ngot:  %x\nwant: %x", name, content, want)
	}
}

// Write writes a file and creates its parent directories.
func Write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Table is a golden file of encodings, one per line: a name and the bytes in hexadecimal.
type Table struct {
	t      *testing.T
	path   string
	stored map[string]string
	order  []string
	used   map[string]bool
}

// Open reads the table testdata/name. The test fails at its end if a line of the table was not
// compared.
func Open(t *testing.T, name string) *Table {
	t.Helper()
	table := &Table{t: t, path: filepath.Join("testdata", name), stored: map[string]string{},
		used: map[string]bool{}}
	if !*update {
		text, err := os.ReadFile(table.path)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			table.stored[key] = value
		}
	}
	t.Cleanup(table.close)
	return table
}

func (table *Table) close() {
	if *update {
		var text strings.Builder
		for _, key := range table.order {
			fmt.Fprintln(&text, key, table.stored[key])
		}
		Write(table.t, table.path, []byte(text.String()))
		return
	}
	for key := range table.stored {
		if !table.used[key] {
			table.t.Errorf("%s: stored encoding %s was not compared by the test", table.path, key)
		}
	}
}

// Bytes checks that an encoding equals the one stored under a name, and returns the stored one.
func (table *Table) Bytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	if table.used[name] {
		t.Fatalf("%s: %s is compared twice, want once", table.path, name)
	}
	table.used[name] = true
	if *update {
		table.stored[name] = hex.EncodeToString(encoded)
		table.order = append(table.order, name)
	}
	stored, err := hex.DecodeString(table.stored[name])
	if err != nil || len(stored) == 0 {
		t.Fatalf("%s: no valid encoding is stored for %s: error %v", table.path, name, err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("encoding of %s differs from the stored one:\ngot:  %x\nwant: %x", name, encoded, stored)
	}
	return stored
}

// CBOR checks that a value is encoded as the stored bytes, and that these are decoded to the value.
// decode is the decoder used by the production code.
func CBOR[T any](t *testing.T, table *Table, name string, value T, decode func([]byte, any) error) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := table.Bytes(t, name, encoded)
	var decoded T
	if err := decode(stored, &decoded); err != nil {
		t.Fatalf("decoding the stored %s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("stored %s is decoded to a different value:\ngot:  %+v\nwant: %+v", name, decoded, value)
	}
}

// AllSet checks that no exported field of a value has its zero value, so that an encoding of the
// value contains all fields.
func AllSet(t *testing.T, value any) {
	t.Helper()
	allSet(t, fmt.Sprintf("%T", value), reflect.ValueOf(value))
}

func allSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s has its zero value, want it set", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		allSet(t, path, value.Elem())
	case reflect.Slice:
		if value.Len() == 0 {
			t.Errorf("%s is an empty slice, want elements", path)
		}
		if value.Type().Elem().Kind() == reflect.Struct {
			for i := range value.Len() {
				allSet(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
			}
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				allSet(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}
