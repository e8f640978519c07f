// Package layout checks the layout of the project's sources: the lengths of files and functions, and which packages
// import which. Its tests run in CI.
package layout

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Limits in lines for all sources: the decision module, the daemon and the lab.
const (
	MaxFile     = 700
	MaxFunction = 60
)

// module is the path of the project's Go module.
const module = "mintkeel"

// Source is a Go file of the project other than a test file.
type Source struct {
	Path      string // relative to the root, with slashes
	Lines     int
	Imports   []string // imported packages of the project, relative to the root
	Functions []Function
}

// Function is a function or method and its length.
type Function struct {
	Name  string // prefixed by the receiver's type
	Lines int
}

// Package returns the source's folder relative to the root.
func (s Source) Package() string { return path.Dir(s.Path) }

// Read parses all sources below root, except those in the folders named by without, which are relative to root, and in
// hidden folders.
func Read(root string, without ...string) ([]Source, error) {
	var list []Source
	err := filepath.WalkDir(root, func(at string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, at)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() {
			if name != "." && strings.HasPrefix(entry.Name(), ".") || slices.Contains(without, name) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := readSource(at, name)
		list = append(list, source)
		return err
	})
	return list, err
}

func readSource(at, name string) (Source, error) {
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, at, nil, parser.SkipObjectResolution)
	if err != nil {
		return Source{}, err
	}
	s := Source{Path: name, Lines: files.File(parsed.FileStart).LineCount()}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
		if own, found := strings.CutPrefix(imported, module+"/"); found {
			s.Imports = append(s.Imports, own)
		}
	}
	for _, declared := range parsed.Decls {
		if f, ok := declared.(*ast.FuncDecl); ok && f.Body != nil {
			lines := files.Position(f.End()).Line - files.Position(f.Pos()).Line + 1
			s.Functions = append(s.Functions, Function{functionName(f), lines})
		}
	}
	return s, nil
}

// functionName returns the name of a function, prefixed by the type of its receiver.
func functionName(f *ast.FuncDecl) string {
	if f.Recv == nil || len(f.Recv.List) == 0 {
		return f.Name.Name
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + f.Name.Name
	}
	return f.Name.Name
}

// Rule restricts which packages of the project a folder's packages may import.
type Rule struct {
	Folder    string   // the rule applies to this folder and those below it
	Except    string   // folder below Folder to which the rule does not apply; empty: none
	Allowed   []string // folders; nil: Forbidden applies instead
	Forbidden []string // folders; all others are allowed
}

// Rules returns the import rules of the project.
func Rules() []Rule {
	return []Rule{
		{Folder: "router", Allowed: []string{}},
		{Folder: "match", Allowed: []string{}},
		{Folder: "internal/core", Allowed: []string{"router", "match", "internal/core"}},
		{Folder: "internal/store", Allowed: []string{"internal/store"}},
		{Folder: "internal/request", Allowed: []string{"router", "internal/core"}},
		{Folder: "internal/operator/block", Allowed: []string{}},
		{Folder: "internal/fleet", Forbidden: []string{"internal/controller", "internal/clients", "internal/engines", "internal/lab", "cmd"}},
		{Folder: "internal/fleet/job", Allowed: []string{"internal/core"}},
		{Folder: "internal/fleet/frames", Allowed: []string{"internal/core"}},
		{Folder: "internal/fleet/maintenance", Forbidden: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/configuration"}},
		{Folder: "internal/fleet/sharedstatistics", Forbidden: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/configuration"}},
		{Folder: "internal/fleet/configuration", Forbidden: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/job"}},
		{Folder: "internal/clients", Forbidden: []string{"internal/engines", "internal/fleet", "internal/lab", "cmd"}},
		{Folder: "internal/engines", Forbidden: []string{"internal/clients", "internal/fleet", "internal/lab", "cmd"}},
		{Folder: "internal", Except: "internal/lab", Forbidden: []string{"internal/lab", "cmd"}},
		{Folder: "internal/lab", Forbidden: []string{"cmd"}},
		{Folder: "cmd/mintkeel", Forbidden: []string{"internal/lab", "cmd"}},
		{Folder: "cmd/mintkeel-sim", Forbidden: []string{"internal/lab", "cmd"}},
	}
}

// isWithin reports whether a package is the folder itself or lies below it.
func isWithin(of, folder string) bool { return of == folder || strings.HasPrefix(of, folder+"/") }

func isWithinAny(of string, folders []string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool { return isWithin(of, folder) })
}

// Violation describes how an import violates the rule. It is empty if the import is allowed.
func (r Rule) Violation(of Source, imported string) string {
	allowed := r.Allowed != nil && isWithinAny(imported, r.Allowed) || r.Allowed == nil && !isWithinAny(imported, r.Forbidden)
	applies := isWithin(of.Package(), r.Folder) && (r.Except == "" || !isWithin(of.Package(), r.Except))
	if !applies || allowed {
		return ""
	}
	return fmt.Sprintf("%s imports %s, which packages below %s may not import", of.Path, imported, r.Folder)
}
