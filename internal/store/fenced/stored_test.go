package fenced

// A change of the format or name of a value's file shows only when a lease holder reads what an earlier build wrote.
// This test reads such a file, and checks that the same value is written as the same bytes.

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
		t.Errorf("stored value is read as %q with token %d, %v; want what an earlier build wrote", got, gotToken, err)
	}
}
