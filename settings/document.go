package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
)

// Document returns the reference of a settings struct in Markdown: one row per field
// with its default, the allowed values, and the comment of its declaration. source is
// the Go file that declares the struct; defaults is a struct that holds the defaults.
func Document(title, source string, defaults any) (string, error) {
	comments, err := fieldComments(source)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\nGenerated from `%s`; do not edit. The file is JSON with comments.\n\n", title, withoutParents(source))
	b.WriteString("| field | default | value | meaning |\n|---|---|---|---|\n")
	writeFields(&b, "", reflect.ValueOf(defaults), comments)
	return b.String(), nil
}

func writeFields(b *strings.Builder, path string, v reflect.Value, comments map[string]string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		full := join(path, nameOf(f))
		if v.Field(i).Kind() == reflect.Struct {
			writeFields(b, full, v.Field(i), comments)
			continue
		}
		comment := comments[v.Type().Name()+"."+f.Name]
		fmt.Fprintf(b, "| `%s` | `%v` | %s | %s |\n", full, v.Field(i).Interface(), allowedValues(f), comment)
	}
}

// fieldComments returns the comment above each field, by "Type.Field".
func fieldComments(source string) (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		st, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, f := range st.Fields.List {
			for _, name := range f.Names {
				comments[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
			}
		}
		return true
	})
	return comments, nil
}

// withoutParents removes the leading "../" elements of a path, so that the text does not
// depend on the directory in which it is generated.
func withoutParents(source string) string {
	for strings.HasPrefix(source, "../") {
		source = strings.TrimPrefix(source, "../")
	}
	return source
}
