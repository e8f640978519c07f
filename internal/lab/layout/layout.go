// Package layout checks how the project's sources are laid out: how long files and functions are, and which package
// imports which. Its tests run in CI.
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

// Bounds of all sources, in lines: of the decision module's, the daemon's and the lab's.
const (
	MaxFile     = 700
	MaxFunction = 60
)

// module is the name under which packages of the project import each other.
const module = "mintkeel"

// Source is a file of the project that is no test.
type Source struct {
	Path      string // from the root, with slashes
	Lines     int
	Imports   []string // packages of the project, from the root
	Functions []Function
}

// Function is one with its length.
type Function struct {
	Name  string // with its receiver's type
	Lines int
}

// Package is the folder of the source.
func (s Source) Package() string { return path.Dir(s.Path) }

// Read reads all sources below a root, but for the folders named.
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

// functionName is a function's name, with its receiver's type in front.
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

// Rule is which packages those below a folder may import.
type Rule struct {
	Below  string   // folder
	Except string   // folder below it to which the rule does not apply; empty: none
	May    []string // folders
	Not    []string // folders; counts where May is nil
}

// Rules are the map of the project: which package may import which.
func Rules() []Rule {
	return []Rule{
		{Below: "router", May: []string{}},
		{Below: "match", May: []string{}},
		{Below: "internal/core", May: []string{"router", "match", "internal/core"}},
		{Below: "internal/store", May: []string{"internal/store"}},
		{Below: "internal/request", May: []string{"router", "internal/core"}},
		{Below: "internal/operator/block", May: []string{}},
		{Below: "internal/fleet", Not: []string{"internal/controller", "internal/clients", "internal/engines", "internal/lab", "cmd"}},
		{Below: "internal/fleet/job", May: []string{"internal/core"}},
		{Below: "internal/fleet/frames", May: []string{"internal/core"}},
		{Below: "internal/fleet/maintenance", Not: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/configuration"}},
		{Below: "internal/fleet/sharedstatistics", Not: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/configuration"}},
		{Below: "internal/fleet/configuration", Not: []string{"internal/fleet/links", "internal/fleet/control", "internal/fleet/job"}},
		{Below: "internal/clients", Not: []string{"internal/engines", "internal/fleet", "internal/lab", "cmd"}},
		{Below: "internal/engines", Not: []string{"internal/clients", "internal/fleet", "internal/lab", "cmd"}},
		{Below: "internal", Except: "internal/lab", Not: []string{"internal/lab", "cmd"}},
		{Below: "internal/lab", Not: []string{"cmd"}},
		{Below: "cmd/mintkeel", Not: []string{"internal/lab", "cmd"}},
		{Below: "cmd/mintkeel-sim", Not: []string{"internal/lab", "cmd"}},
	}
}

// below tells whether a package is a folder or lies below it.
func below(of, folder string) bool { return of == folder || strings.HasPrefix(of, folder+"/") }

func belowAny(of string, folders []string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool { return below(of, folder) })
}

// Breaks tells which rule an import breaks; empty: none.
func (r Rule) Breaks(of Source, imported string) string {
	allowed := r.May != nil && belowAny(imported, r.May) || r.May == nil && !belowAny(imported, r.Not)
	applies := below(of.Package(), r.Below) && (r.Except == "" || !below(of.Package(), r.Except))
	if !applies || allowed {
		return ""
	}
	return fmt.Sprintf("%s imports %s, which no package below %s may", of.Path, imported, r.Below)
}
