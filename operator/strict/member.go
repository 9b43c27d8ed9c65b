package strict

import (
	"reflect"
	"strings"
)

// memberNames returns the YAML names of a struct's exported fields.
func memberNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() {
			name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
			names = append(names, name)
		}
	}
	return names
}

func findMember(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.IsExported() && tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
