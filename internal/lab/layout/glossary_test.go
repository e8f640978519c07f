package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// sourcePath is a path of this project in a page of docs.
var sourcePath = regexp.MustCompile("`((?:cmd|internal|router)/[A-Za-z0-9_./-]+)`")

// TestGlossaryPaths: a file that the glossary names was moved or renamed, and whoever looks up a name on a wire is sent to
// a file that is not there.
func TestGlossaryPaths(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "GLOSSARY.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths := sourcePath.FindAllSubmatch(page, -1)
	if len(paths) < 20 {
		t.Fatalf("%d paths are found", len(paths))
	}
	for _, path := range paths {
		if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(string(path[1])))); err != nil {
			t.Errorf("docs/GLOSSARY.md names %s: %v", path[1], err)
		}
	}
}
