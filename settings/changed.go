package settings

import "reflect"

// Changed returns the paths of the fields in which two settings of the same type differ.
func Changed(before, after any) []string {
	return changed("", reflect.ValueOf(before), reflect.ValueOf(after))
}

func changed(path string, before, after reflect.Value) []string {
	var names []string
	for i := range before.NumField() {
		full := join(path, nameOf(before.Type().Field(i)))
		b, a := before.Field(i), after.Field(i)
		switch {
		case b.Kind() == reflect.Struct:
			names = append(names, changed(full, b, a)...)
		case !reflect.DeepEqual(b.Interface(), a.Interface()):
			names = append(names, full)
		}
	}
	return names
}
