package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Parse reads a file's content into the struct that into points to. Fields that it does
// not name keep their values.
func Parse(file string, raw []byte, into any) error {
	tree, err := hujson.Parse(raw)
	if err != nil {
		return &Error{file: file, line: SyntaxLine(err), text: "not JSON with comments: " + err.Error()}
	}
	d := decoder{file: file, raw: raw}
	if err := d.object(tree, "", reflect.ValueOf(into).Elem()); err != nil {
		return err
	}
	return d.required("", reflect.ValueOf(into).Elem())
}

// SyntaxLine finds the line in an error of the hujson parser, which names it in
// its text; 0 if it does not.
func SyntaxLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	n, _ := strconv.Atoi(digits)
	return n
}

type decoder struct {
	file string
	raw  []byte
}

func (d decoder) fail(v hujson.Value, field, format string, args ...any) error {
	line := 1 + bytes.Count(d.raw[:v.StartOffset], []byte("\n"))
	return &Error{file: d.file, line: line, field: field, text: fmt.Sprintf(format, args...)}
}

func (d decoder) object(v hujson.Value, path string, into reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(v, path, "want an object {…}")
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		full := join(path, name)
		i, known := fields[name]
		if !known {
			return d.fail(m.Name, full, "unknown field; known here: %s", names(fields))
		}
		if seen[name] {
			return d.fail(m.Name, full, "stands twice")
		}
		seen[name] = true
		if err := d.value(m.Value, full, into.Field(i), into.Type().Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d decoder) value(v hujson.Value, path string, into reflect.Value, f reflect.StructField) error {
	if into.Kind() == reflect.Struct && into.Type() != reflect.TypeFor[time.Time]() {
		return d.object(v, path, into)
	}
	standard := v.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into.Addr().Interface()); err != nil {
		if plain(f.Type) {
			return d.fail(v, path, "want %s, got %s", wanted(f), bytes.TrimSpace(standard.Pack()))
		}
		return d.fail(v, path, "%v", err)
	}
	if !inRange(into, f.Tag) {
		return d.fail(v, path, "%s is not allowed; want %s", bytes.TrimSpace(standard.Pack()), wanted(f))
	}
	return nil
}

// plain reports whether the words for the type say all there is to say.
func plain(t reflect.Type) bool {
	return t == reflect.TypeFor[Duration]() || (t.Kind() != reflect.Pointer && t.Kind() != reflect.Struct)
}

// required reports fields that need a value and have none.
func (d decoder) required(path string, v reflect.Value) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		full := join(path, nameOf(f))
		if v.Field(i).Kind() == reflect.Struct {
			if err := d.required(full, v.Field(i)); err != nil {
				return err
			}
		}
		if f.Tag.Get("required") == "true" && v.Field(i).IsZero() {
			return &Error{file: d.file, field: full, text: "missing; want " + wanted(f)}
		}
	}
	return nil
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		fields[nameOf(t.Field(i))] = i
	}
	return fields
}

func nameOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func names(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for n := range fields {
		list = append(list, n)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
