package fenced

// A change of the format or of the name of a fenced value's file shows only when a holder reads what an earlier build
// wrote. This test reads such a file, and writes the same value to the same bytes.

import (
	"os"
	"path/filepath"
	"testing"

	"mintkeel/internal/lab/golden"
	"mintkeel/internal/store/disk"
)

func TestStoredValueIsReadable(t *testing.T) {
	const (
		file  = "plan-a.000000000000002a.0000000000000001"
		token = 42
		value = "a value of an earlier build"
	)
	folder := t.TempDir()
	if err := Write(disk.Folder(folder), "plan-a", token, []byte(value)); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(folder, file))
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, file, written)
	if got, gotToken, err := Read(disk.Folder("testdata"), "plan-a"); string(got) != value || gotToken != token || err != nil {
		t.Errorf("%q of token %d, %v", got, gotToken, err)
	}
}
