package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// allowedValues describes the values that a field accepts.
func allowedValues(f reflect.StructField) string {
	text := typeName(f.Type)
	if options := f.Tag.Get("oneof"); options != "" {
		return "one of " + strings.ReplaceAll(options, ",", ", ")
	}
	lo, hi := f.Tag.Get("min"), f.Tag.Get("max")
	switch {
	case lo != "" && hi != "":
		text += fmt.Sprintf(" from %s to %s", lo, hi)
	case lo != "":
		text += " of at least " + lo
	case hi != "":
		text += " of at most " + hi
	}
	return text
}

func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration with a unit such as "250ms"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list of " + strings.TrimPrefix(typeName(t.Elem()), "a ") + "s"
	default:
		return t.String()
	}
}

// isAllowed checks a value against the tags oneof, min and max of its field.
func isAllowed(v reflect.Value, tag reflect.StructTag) bool {
	if options := tag.Get("oneof"); options != "" {
		return slices.Contains(strings.Split(options, ","), v.String())
	}
	n, numeric := toNumber(v)
	if !numeric {
		return true
	}
	if lo, ok := parseBound(tag.Get("min")); ok && n < lo {
		return false
	}
	hi, ok := parseBound(tag.Get("max"))
	return !ok || n <= hi
}

// moveIntoRange replaces a number or duration out of the range of its tags by the nearest one in the range. It returns false for
// other values, and for zero, which platforms write for what is not stated.
func moveIntoRange(v reflect.Value, tag reflect.StructTag) bool {
	n, numeric := toNumber(v)
	if !numeric || n == 0 {
		return false
	}
	if lo, ok := parseBound(tag.Get("min")); ok {
		n = max(n, lo)
	}
	if hi, ok := parseBound(tag.Get("max")); ok {
		n = min(n, hi)
	}
	v.Set(reflect.ValueOf(n).Convert(v.Type()))
	return true
}

func toNumber(v reflect.Value) (float64, bool) {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int()), true
	case reflect.Uint32, reflect.Uint64:
		return float64(v.Uint()), true
	case reflect.Float64:
		return v.Float(), true
	default:
		return 0, false
	}
}

// parseBound parses the value of a min or max tag; durations are in nanoseconds.
func parseBound(text string) (float64, bool) {
	if text == "" {
		return 0, false
	}
	if d, err := time.ParseDuration(text); err == nil && !isNumber(text) {
		return float64(d), true
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}
