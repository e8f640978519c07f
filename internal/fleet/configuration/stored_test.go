package configuration

// A renamed or reordered field can change the stored format of the fleet's configuration, which fails only
// with a folder of an earlier build. This test compares the format with files that an earlier build wrote.

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/lab/golden"
	"mintkeel/internal/store/disk"
)

func versionOfDocument(document []byte) config.Version {
	return config.Version{Number: 7, Hash: sha256.Sum256(document), Size: len(document), Author: "ann",
		Reason: "more room", Time: 1_700_000_000_123, RollbackOf: 5,
		ID: config.ProposalID{Origin: "n2", Run: 0xbeef, Ref: 11}}
}

// A folder of configuration versions that an earlier build wrote must be readable, and the same version must
// be written to identical files.
func TestStoredConfigFolderIsReadable(t *testing.T) {
	const generation = 3
	document := []byte("log {\n  level = \"warn\"\n}\n")
	version := versionOfDocument(document)
	golden.AllSet(t, currentRecord{Generation: generation, Version: version})

	written := filepath.Join(t.TempDir(), "config")
	folder, _, err := OpenFolder(disk.Folder(written), generation)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	request := &config.StoreRequest{Hash: version.Hash, Document: document, Current: &version}
	if err := folder.Store(request); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"current", "document-" + version.Hash.String()} {
		content, err := os.ReadFile(filepath.Join(written, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, filepath.Join("config", name), content)
	}

	read := t.TempDir() // a copy, as opening a folder creates a lock file in it
	if err := os.CopyFS(read, os.DirFS("testdata/config")); err != nil {
		t.Fatal(err)
	}
	opened, contents, err := OpenFolder(disk.Folder(read), generation)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	want := Contents{record: &currentRecord{Generation: generation, Version: version}, document: document,
		documents: map[config.Hash][]byte{version.Hash: document}}
	if !reflect.DeepEqual(contents, want) {
		t.Errorf("contents of the stored folder:\ngot  %+v\nwant %+v", contents, want)
	}
}
