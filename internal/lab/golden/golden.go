// Package golden compares what tests produce with files under testdata, which hold it as an earlier
// build wrote it. The files are rewritten only by `go test PACKAGE -update`; CI never sets that
// flag.
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

// File compares content with the file testdata/name.
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
		t.Errorf("%s has changed:\ngot:\n%s\nstored:\n%s", name, content, want)
	default:
		t.Errorf("%s has changed:\ngot:    %x\nstored: %x", name, content, want)
	}
}

// Write writes a file, and the folders that it lies in.
func Write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Table is a golden file of encodings, one a line: a name and the bytes in hexadecimal digits.
type Table struct {
	t      *testing.T
	path   string
	stored map[string]string
	order  []string
	used   map[string]bool
}

// Open reads the table testdata/name. At the end of the test each of its lines must have been
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
			table.t.Errorf("%s: no test encodes %s any more", table.path, key)
		}
	}
}

// Bytes compares an encoding with the stored one of a name, and returns the stored one.
func (table *Table) Bytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	if table.used[name] {
		t.Fatalf("%s: %s is compared twice", table.path, name)
	}
	table.used[name] = true
	if *update {
		table.stored[name] = hex.EncodeToString(encoded)
		table.order = append(table.order, name)
	}
	stored, err := hex.DecodeString(table.stored[name])
	if err != nil || len(stored) == 0 {
		t.Fatalf("%s: %s is not stored: %v", table.path, name, err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("%s is encoded as\n%x, and was as\n%x", name, encoded, stored)
	}
	return stored
}

// CBOR compares the encoding of a value with the stored one, and the stored one's value with this
// one. Decode is the function that reads such values in service.
func CBOR[T any](t *testing.T, table *Table, name string, value T, decode func([]byte, any) error) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := table.Bytes(t, name, encoded)
	var decoded T
	if err := decode(stored, &decoded); err != nil {
		t.Fatalf("%s can't be read: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s is read as\n%+v, and was\n%+v", name, decoded, value)
	}
}

// AllSet checks that no exported field of a value has its zero value, so that an encoding of it
// shows all fields.
func AllSet(t *testing.T, value any) {
	t.Helper()
	allSet(t, fmt.Sprintf("%T", value), reflect.ValueOf(value))
}

func allSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		allSet(t, path, value.Elem())
	case reflect.Slice:
		if value.Len() == 0 {
			t.Errorf("%s is empty", path)
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
