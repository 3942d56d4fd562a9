// Package doccheck tests that exported declarations are documented, and that the
// documentation pages refer to names that exist.
package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// root is the path of the repository relative to this package.
const root = "../.."

// Every package and every exported type, function, method, constant and variable must have a
// doc comment. A group of constants or variables may share one.
func TestExportedDeclarationsAreDocumented(t *testing.T) {
	files := token.NewFileSet()
	documented := map[string]bool{}
	err := walkSources(func(path string) error {
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder := filepath.Dir(path)
		documented[folder] = documented[folder] || file.Doc != nil
		for _, declaration := range file.Decls {
			for _, name := range undocumented(declaration) {
				t.Errorf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(documented) < 20 {
		t.Errorf("found %d packages, want at least 20", len(documented))
	}
	for folder, hasDoc := range documented {
		if !hasDoc {
			t.Errorf("package in %s has no doc comment", folder)
		}
	}
}

// walkSources calls visit for each Go file of the repository, except those in build output
// and hidden directories.
func walkSources(visit func(path string) error) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (name == "target" || strings.HasPrefix(name, ".")) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") {
			return nil
		}
		return visit(path)
	})
}

// undocumented returns the exported names of a declaration that have no doc comment.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Doc == nil && declaration.Name.IsExported() && hasExportedReceiver(declaration) {
			return []*ast.Ident{declaration.Name}
		}
	case *ast.GenDecl:
		var names []*ast.Ident
		for _, spec := range declaration.Specs {
			names = append(names, undocumentedInSpec(declaration, spec)...)
		}
		return names
	}
	return nil
}

// undocumentedInSpec returns the exported names of one spec that lack a doc comment. Constants
// and variables may share the comment of their group or have a comment on their line. A type may
// use the comment of its group only if it is alone in it.
func undocumentedInSpec(group *ast.GenDecl, spec ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		alone := len(group.Specs) == 1
		if spec.Name.IsExported() && spec.Doc == nil && (group.Doc == nil || !alone) {
			names = append(names, spec.Name)
		}
	case *ast.ValueSpec:
		if group.Doc != nil || spec.Doc != nil || spec.Comment != nil {
			return nil
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				names = append(names, name)
			}
		}
	}
	return names
}

// hasExportedReceiver reports whether a function has no receiver or one of an exported type.
func hasExportedReceiver(function *ast.FuncDecl) bool {
	return function.Recv == nil || ast.IsExported(receiverName(function))
}

// receiverName returns the name of a method's receiver type.
func receiverName(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}
