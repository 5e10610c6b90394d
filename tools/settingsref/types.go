package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const modulePrefix = "github.com/knapweedweir/knapweedweir/"

// scalars maps the types that are written as a single value to their names on the
// page.
var scalars = map[string]string{
	"string": "string", "bool": "boolean", "int": "whole number", "int64": "whole number", "uint64": "whole number", "float64": "number",
	"jsonc.Duration": "duration", "jsonc.Bytes": "amount of memory", "json.RawMessage": "any JSON",
}

// typeDecl is a type declaration and its file.
type typeDecl struct {
	spec *ast.TypeSpec
	file *ast.File
}

// types finds type declarations in the repository's sources.
type types struct {
	root     string
	packages map[string]map[string]typeDecl
}

func newTypes(root string) *types {
	return &types{root: root, packages: map[string]map[string]typeDecl{}}
}

func (t *types) find(dir, name string) (typeDecl, error) {
	if _, ok := t.packages[dir]; !ok {
		if err := t.parse(dir); err != nil {
			return typeDecl{}, err
		}
	}
	d, ok := t.packages[dir][name]
	if !ok {
		return d, errors.Errorf("no type %s in %s", name, dir)
	}
	return d, nil
}

func (t *types) parse(dir string) error {
	files, err := filepath.Glob(filepath.Join(t.root, dir, "*.go"))
	if err != nil || len(files) == 0 {
		return errors.Wrapf(fs.ErrNotExist, "go files in %s", dir)
	}
	found := map[string]typeDecl{}
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return errors.Wrap(err, "parse")
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				found[spec.Name.Name] = typeDecl{spec, file}
			}
			return true
		})
	}
	t.packages[dir] = found
	return nil
}

// rows returns the settings of a struct type, including those of nested structs.
func (t *types) rows(prefix, dir, name string) ([]row, error) {
	decl, err := t.find(dir, name)
	if err != nil {
		return nil, err
	}
	st, ok := decl.spec.Type.(*ast.StructType)
	if !ok {
		return nil, errors.Errorf("%s.%s is not a struct", dir, name)
	}
	var rows []row
	for _, f := range st.Fields.List {
		tag := tagOf(f)
		key, _, _ := strings.Cut(tag.Get("json"), ",")
		if key == "" || key == "-" {
			continue
		}
		if f.Doc == nil {
			return nil, errors.Errorf("%s.%s: the setting %q has no doc comment", dir, name, key)
		}
		r := row{path: prefix + key, defaultTag: tag.Get("default"), doc: cellText(f.Doc.Text())}
		sub, err := t.field(r, dir, decl.file, f.Type)
		if err != nil {
			return nil, err
		}
		rows = append(rows, sub...)
	}
	return rows, nil
}

// field returns the row of a field and the rows of its nested settings.
func (t *types) field(r row, dir string, file *ast.File, expr ast.Expr) ([]row, error) {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return t.field(r, dir, file, e.X)
	case *ast.ArrayType:
		return t.container(r, "list", dir, file, e.Elt)
	case *ast.MapType:
		return t.container(r, "object", dir, file, e.Value)
	}
	text := nameOf(expr)
	if kind, ok := scalars[text]; ok {
		r.kind = kind
		return []row{r}, nil
	}
	if pkg, name, ok := strings.Cut(text, "."); ok {
		imported, err := importDir(file, pkg)
		if err != nil {
			return nil, err
		}
		return t.named(r, imported, name)
	}
	return t.named(r, dir, text)
}

func (t *types) named(r row, dir, name string) ([]row, error) {
	decl, err := t.find(dir, name)
	if err != nil {
		return nil, err
	}
	if _, ok := decl.spec.Type.(*ast.StructType); !ok {
		return t.field(r, dir, decl.file, decl.spec.Type)
	}
	r.kind = "object"
	if title := titleOf(dir, name); title != "" {
		r.doc += " See " + title + "."
		return []row{r}, nil
	}
	sub, err := t.rows(r.path+".", dir, name)
	return append([]row{r}, sub...), err
}

func (t *types) container(r row, kind, dir string, file *ast.File, elem ast.Expr) ([]row, error) {
	sub, err := t.field(row{path: r.path + ".*"}, dir, file, elem)
	if err != nil {
		return nil, err
	}
	r.kind = kind + " of " + sub[0].kind + "s"
	return append([]row{r}, sub[1:]...), nil
}

func tagOf(f *ast.Field) reflect.StructTag {
	if f.Tag == nil {
		return ""
	}
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return ""
	}
	return reflect.StructTag(text)
}

func nameOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return nameOf(e.X) + "." + e.Sel.Name
	}
	return ""
}

func importDir(file *ast.File, pkg string) (string, error) {
	for _, i := range file.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		if dir, ok := strings.CutPrefix(path, modulePrefix); ok && (dir == pkg || strings.HasSuffix(dir, "/"+pkg)) {
			return dir, nil
		}
	}
	return "", errors.Errorf("package %s is not one of the repository's", pkg)
}

func cellText(doc string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(doc), " "), "|", "\\|")
}
