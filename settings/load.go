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
		return &Error{file: file, line: SyntaxLine(err), text: "invalid JSON with comments: " + err.Error(), incomplete: true}
	}
	d := &decoder{file: file, raw: raw}
	target := reflect.ValueOf(into).Elem()
	return d.decode(tree, target, target)
}

// ParseLenient decodes like Parse, but a mistake in a field that is not required does not fail. The field gets the nearest allowed
// value if it is a number or duration out of range, and else, or if it is zero, the value of the fallback. The mistakes are
// returned as ignored.
func ParseLenient[S any](file string, raw []byte, into *S, fallback S) (ignored []error, err error) {
	tree, err := hujson.Parse(raw)
	if err != nil {
		return nil, &Error{file: file, line: SyntaxLine(err), text: "invalid JSON with comments: " + err.Error(), incomplete: true}
	}
	d := &decoder{file: file, raw: raw, lenient: true}
	err = d.decode(tree, reflect.ValueOf(into).Elem(), reflect.ValueOf(fallback))
	return d.ignored, err
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
	file    string
	raw     []byte
	lenient bool
	ignored []error // mistakes that did not fail; only if lenient
}

// decode decodes the whole tree. The fallback is used only by a lenient decoder.
func (d *decoder) decode(tree hujson.Value, into, fallback reflect.Value) error {
	if err := d.decodeObject(tree, "", into, fallback); err != nil {
		return err
	}
	return d.checkRequired("", into)
}

// errorAt returns the error for the value of a field, with the line of the value.
func (d *decoder) errorAt(v hujson.Value, field, format string, args ...any) error {
	line := 1 + bytes.Count(d.raw[:v.StartOffset], []byte("\n"))
	return &Error{file: d.file, line: line, field: field, text: fmt.Sprintf(format, args...)}
}

func (d *decoder) decodeObject(v hujson.Value, path string, into, fallback reflect.Value) error {
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
			if err := d.mistake(d.errorAt(m.Name, full, "unknown field; allowed here: %s", sortedNames(fields))); err != nil {
				return err
			}
			continue
		}
		if seen[name] {
			return d.errorAt(m.Name, full, "duplicate field")
		}
		seen[name] = true
		if err := d.decodeField(m.Value, full, into.Field(i), fallback.Field(i), into.Type().Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeField decodes the value of a field. A lenient decoder replaces a value that is a mistake.
func (d *decoder) decodeField(v hujson.Value, path string, into, fallback reflect.Value, f reflect.StructField) error {
	if into.Kind() == reflect.Struct && into.Type() != reflect.TypeFor[time.Time]() {
		return d.decodeObject(v, path, into, fallback)
	}
	decoded := reflect.New(into.Type()).Elem()
	decoded.Set(into) // null keeps the default
	err := d.decodeValue(v, path, decoded, f)
	switch {
	case err == nil:
		into.Set(decoded)
		return nil
	case f.Tag.Get("required") == "true":
		return err
	}
	if !moveIntoRange(decoded, f.Tag) {
		decoded = fallback
	}
	into.Set(decoded)
	return d.mistake(err)
}

// mistake returns the error, unless the decoder is lenient.
func (d *decoder) mistake(err error) error {
	if !d.lenient {
		return err
	}
	d.ignored = append(d.ignored, err)
	return nil
}

func (d *decoder) decodeValue(v hujson.Value, path string, into reflect.Value, f reflect.StructField) error {
	standard := v.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into.Addr().Interface()); err != nil {
		into.SetZero()
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
func (d *decoder) checkRequired(path string, v reflect.Value) error {
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
