package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// sourcePath matches a source path of this project in a page of docs.
var sourcePath = regexp.MustCompile("`((?:cmd|internal|router)/[A-Za-z0-9_./-]+)`")

// TestGlossaryPaths guards against paths in the glossary that no longer exist because a file was moved or renamed: readers
// look up there which file defines a wire name.
func TestGlossaryPaths(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "GLOSSARY.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths := sourcePath.FindAllSubmatch(page, -1)
	if len(paths) < 20 {
		t.Fatalf("found %d paths in docs/GLOSSARY.md, want at least 20", len(paths))
	}
	for _, path := range paths {
		if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(string(path[1])))); err != nil {
			t.Errorf("docs/GLOSSARY.md names %s, want an existing file: %v", path[1], err)
		}
	}
}
