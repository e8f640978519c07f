package records

// A change of the log's file format shows only when a controller starts with a folder that an earlier build wrote. This
// test reads such a file, and checks that the same records are written as the same bytes.

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mintkeel/internal/lab/golden"
	"mintkeel/internal/store/disk"
)

func storedRecords() [][]byte {
	return [][]byte{[]byte("first record"), {}, []byte("third record")}
}

// writeLog appends records to the log of a new folder, and returns its only file.
func writeLog(t *testing.T, records [][]byte) (name string, content []byte) {
	t.Helper()
	folder := disk.Folder(t.TempDir())
	log, _, err := Open(folder, DefaultBounds())
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	for _, record := range records {
		if err := log.Append(record); err != nil {
			t.Fatal(err)
		}
	}
	name = log.names[0]
	if content, err = os.ReadFile(filepath.Join(string(folder), name)); err != nil {
		t.Fatal(err)
	}
	return name, content
}

func TestStoredLogIsReadable(t *testing.T) {
	name, written := writeLog(t, storedRecords())
	if name != "records-0000000000000001" {
		t.Errorf("the first file is named %s", name)
	}
	golden.File(t, "records-0000000000000001", written)
	folder := t.TempDir() // Open creates a lock file in the folder
	stored, err := os.ReadFile("testdata/records-0000000000000001")
	if err != nil {
		t.Fatal(err)
	}
	golden.Write(t, filepath.Join(folder, "records-0000000000000001"), stored)
	log, recovered, err := Open(disk.Folder(folder), DefaultBounds())
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if recovered.TornTail || !reflect.DeepEqual(recovered.Records, storedRecords()) {
		t.Errorf("stored log: torn tail %v, records %q; want storedRecords and no torn tail", recovered.TornTail, recovered.Records)
	}
}
