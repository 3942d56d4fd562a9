package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// Every code span on a page that has the form of a file, test or member name must refer to
// one that exists. Records of past events (docs/incidents, docs/results.md) are exempt, since
// they use the names of their time.
func TestPagesReferToExistingNames(t *testing.T) {
	names := declaredNames(t)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, filepath.Join(root, "README.md"))
	checked := 0
	for _, page := range pages {
		if filepath.Base(page) == "results.md" {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			checked++
			if !spanExists(span[1], names) {
				t.Errorf("%s refers to `%s`, which does not exist", filepath.Base(page), span[1])
			}
		}
	}
	if checked < 200 {
		t.Errorf("found %d code spans, want at least 200", checked)
	}
}

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	filePath   = regexp.MustCompile(`^(?:internal|docs|deploy|cmd|client|core|testdata)/[\w./-]+$`)
	goFile     = regexp.MustCompile(`^\w+\.go$`)
	testName   = regexp.MustCompile(`^Test[A-Z]\w+$`)
	memberName = regexp.MustCompile(`^([A-Za-z]\w*)\.([A-Za-z]\w*)$`)
)

// declarations holds the names that the code declares.
type declarations struct {
	// files holds the base names of Go files. tests holds the names of functions without a
	// receiver.
	files, tests map[string]bool
	// members holds "Type.method" and "package.Name".
	members map[string]bool
	// qualifiers holds the names of all packages and types.
	qualifiers map[string]bool
}

// spanExists reports whether the file, test or member that a code span names exists. Other
// spans, such as settings, keys and commands, are not checked.
func spanExists(span string, names declarations) bool {
	switch {
	case filePath.MatchString(span):
		return pathExists(span)
	case goFile.MatchString(span):
		return names.files[span]
	case testName.MatchString(span):
		return names.tests[span]
	}
	if member := memberName.FindStringSubmatch(span); member != nil && names.qualifiers[member[1]] {
		return names.members[span]
	}
	return true
}

// pathExists reports whether a path exists below the root or below internal, so that core/
// may stand for internal/core/.
func pathExists(path string) bool {
	for _, prefix := range []string{"", "internal"} {
		if _, err := os.Stat(filepath.Join(root, prefix, path)); err == nil {
			return true
		}
	}
	return false
}

func declaredNames(t *testing.T) declarations {
	t.Helper()
	names := declarations{files: map[string]bool{}, tests: map[string]bool{}, members: map[string]bool{}, qualifiers: map[string]bool{}}
	err := walkSources(func(path string) error {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names.files[filepath.Base(path)] = true
		names.qualifiers[file.Name.Name] = true
		for _, declaration := range file.Decls {
			names.add(file.Name.Name, declaration)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func (n declarations) add(packageName string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		n.addFunction(packageName, declaration)
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			n.addSpec(packageName, spec)
		}
	}
}

func (n declarations) addFunction(packageName string, function *ast.FuncDecl) {
	name := function.Name.Name
	if function.Recv == nil {
		n.members[packageName+"."+name] = true
		n.tests[name] = true
		return
	}
	n.members[receiverName(function)+"."+name] = true
}

func (n declarations) addSpec(packageName string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		n.members[packageName+"."+spec.Name.Name] = true
		n.qualifiers[spec.Name.Name] = true
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					n.members[spec.Name.Name+"."+name.Name] = true
				}
			}
		}
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			n.members[packageName+"."+name.Name] = true
		}
	}
}
