// Package doccheck tests that exported declarations are documented.
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

// root is the repository, seen from this package.
const root = "../.."

// Every package and every exported type, function, method, constant and variable has a
// doc comment. One comment may stand for a whole group of constants or variables.
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
		t.Errorf("only %d packages were found", len(documented))
	}
	for folder, has := range documented {
		if !has {
			t.Errorf("the package in %s has no doc comment", folder)
		}
	}
}

// walkSources visits the Go files of the repository, without build results and hidden folders.
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

// undocumented lists the exported names of a declaration that have no doc comment.
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

// hasExportedReceiver tells whether a function is no method, or one of an exported type.
func hasExportedReceiver(function *ast.FuncDecl) bool {
	return function.Recv == nil || ast.IsExported(receiverName(function))
}

// receiverName is the name of a method's type.
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
