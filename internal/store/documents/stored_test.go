package documents

// A change of the file format or of the file names shows only when a controller starts with a folder that an earlier
// build wrote: it would drop all documents as damaged. This test reads such a folder, and writes the same documents to
// the same files.

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mintkeel/internal/lab/golden"
	"mintkeel/internal/store/disk"
)

const storedFolder = "testdata/folder"

func TestStoredFolderIsReadable(t *testing.T) {
	current, other := []byte("log {\n  level = \"warn\"\n}\n"), []byte("# an earlier version\n")
	record := Current{Document: sha256.Sum256(current), Record: []byte("a record")}
	bounds := Bounds{Document: 1 << 10, Documents: 4, Bytes: 1 << 12}
	written := t.TempDir()
	folder, _, err := Open(disk.Folder(written), bounds)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	for _, document := range [][]byte{other, current} {
		if err := folder.Put(sha256.Sum256(document), document); err != nil {
			t.Fatal(err)
		}
	}
	if err := folder.SetCurrent(record); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{currentName, documentName(record.Document), documentName(sha256.Sum256(other))} {
		content, err := os.ReadFile(filepath.Join(written, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, filepath.Join("folder", name), content)
	}

	read := t.TempDir() // Open creates a lock file in the folder
	if err := os.CopyFS(read, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	opened, contents, err := Open(disk.Folder(read), bounds)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	want := Contents{Current: &record,
		Documents: map[Hash][]byte{record.Document: current, sha256.Sum256(other): other}}
	if !reflect.DeepEqual(contents, want) {
		t.Errorf("folder is read as %+v\nwant %+v", contents, want)
	}
	if names, err := os.ReadDir(storedFolder); err != nil || len(names) != 3 {
		t.Errorf("the stored folder has %v, %v; want 3 files", names, err)
	}
}
