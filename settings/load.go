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

// Parse decodes the content of a file into the struct that into points to. Fields that the
// file does not name keep their values.
func Parse(file string, raw []byte, into any) error {
	tree, err := hujson.Parse(raw)
	if err != nil {
		return &Error{file: file, line: SyntaxLine(err), text: "invalid JSON with comments: " + err.Error()}
	}
	d := decoder{file: file, raw: raw}
	if err := d.decodeObject(tree, "", reflect.ValueOf(into).Elem()); err != nil {
		return err
	}
	return d.checkRequired("", reflect.ValueOf(into).Elem())
}

// SyntaxLine returns the line number in the text of an error of the hujson parser; 0 if the
// text has none.
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

// errorAt returns the error for the value of a field, with the line of the value.
func (d decoder) errorAt(v hujson.Value, field, format string, args ...any) error {
	line := 1 + bytes.Count(d.raw[:v.StartOffset], []byte("\n"))
	return &Error{file: d.file, line: line, field: field, text: fmt.Sprintf(format, args...)}
}

func (d decoder) decodeObject(v hujson.Value, path string, into reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(v, path, "want an object {...}")
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		full := join(path, name)
		i, known := fields[name]
		if !known {
			return d.errorAt(m.Name, full, "unknown field; allowed here: %s", sortedNames(fields))
		}
		if seen[name] {
			return d.errorAt(m.Name, full, "duplicate field")
		}
		seen[name] = true
		if err := d.decodeValue(m.Value, full, into.Field(i), into.Type().Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d decoder) decodeValue(v hujson.Value, path string, into reflect.Value, f reflect.StructField) error {
	if into.Kind() == reflect.Struct && into.Type() != reflect.TypeFor[time.Time]() {
		return d.decodeObject(v, path, into)
	}
	standard := v.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into.Addr().Interface()); err != nil {
		if hasTypeName(f.Type) {
			return d.errorAt(v, path, "want %s, got %s", allowedValues(f), bytes.TrimSpace(standard.Pack()))
		}
		return d.errorAt(v, path, "%v", err)
	}
	if !isAllowed(into, f.Tag) {
		return d.errorAt(v, path, "%s is not allowed; want %s", bytes.TrimSpace(standard.Pack()), allowedValues(f))
	}
	return nil
}

// hasTypeName reports whether typeName describes the type well enough for an error message. If not,
// the message of the JSON decoder is used.
func hasTypeName(t reflect.Type) bool {
	return t == reflect.TypeFor[Duration]() || (t.Kind() != reflect.Pointer && t.Kind() != reflect.Struct)
}

// checkRequired returns an error for the first required field that has no value.
func (d decoder) checkRequired(path string, v reflect.Value) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		full := join(path, nameOf(f))
		if v.Field(i).Kind() == reflect.Struct {
			if err := d.checkRequired(full, v.Field(i)); err != nil {
				return err
			}
		}
		if f.Tag.Get("required") == "true" && v.Field(i).IsZero() {
			return &Error{file: d.file, field: full, text: "missing; want " + allowedValues(f)}
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

func sortedNames(fields map[string]int) string {
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
