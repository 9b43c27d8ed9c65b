package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// decoder fills a struct from a syntax tree. It goes on after a fault, so that one run reports all of them, and
// remembers the line of each field for the checks that follow.
type decoder struct {
	lines  map[string]int
	faults FieldErrors
}

func decode(b []byte, out *Settings) *decoder {
	d := &decoder{lines: map[string]int{}}
	file, err := parser.ParseBytes(b, 0)
	if err != nil {
		d.syntax(err)
		return d
	}
	if len(file.Docs) > 1 {
		d.add("", file.Docs[1].Body, "must be a single YAML document")
		return d
	}
	if len(file.Docs) == 1 && file.Docs[0].Body != nil {
		d.value("", file.Docs[0].Body, reflect.ValueOf(out).Elem())
	}
	return d
}

// unusable reports whether no field could be read, so that checks of single fields would only add noise.
func (d *decoder) unusable() bool { return len(d.faults) == 1 && d.faults[0].Path == "" }

// faulty returns the paths that already have a fault, whose values are not checked further.
func (d *decoder) faulty() map[string]bool {
	paths := map[string]bool{}
	for _, f := range d.faults {
		paths[f.Path] = true
	}
	return paths
}

func (d *decoder) add(path string, node ast.Node, format string, args ...any) {
	line := 0
	if node != nil {
		line = node.GetToken().Position.Line
	}
	d.faults = append(d.faults, FieldError{Path: path, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) syntax(err error) {
	fault := FieldError{Reason: "invalid YAML: " + err.Error()}
	var pointed yaml.Error
	if errors.As(err, &pointed) && pointed.GetToken() != nil {
		fault.Line = pointed.GetToken().Position.Line
		fault.Reason = "invalid YAML: " + pointed.GetMessage()
	}
	d.faults = append(d.faults, fault)
}

func (d *decoder) value(path string, node ast.Node, v reflect.Value) {
	d.lines[path] = node.GetToken().Position.Line
	switch {
	case node.Type() == ast.NullType:
		return // Keeps the default.
	case v.Kind() == reflect.Struct:
		d.mapping(path, node, v)
	case v.Kind() == reflect.Slice:
		d.sequence(path, node, v)
	default:
		d.scalar(path, node, v)
	}
}

func (d *decoder) mapping(path string, node ast.Node, v reflect.Value) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.add(path, node, "must be a mapping with the members %s", strings.Join(members(v.Type()), ", "))
		return
	}
	for it := m.MapRange(); it.Next(); {
		name := it.Key().GetToken().Value
		field, ok := member(v, name)
		if !ok {
			d.add(join(path, name), it.Key(), "unknown member; allowed: %s", strings.Join(members(v.Type()), ", "))
			continue
		}
		d.value(join(path, name), it.Value(), field)
	}
}

func (d *decoder) sequence(path string, node ast.Node, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(path, node, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, element := range list.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, v.Index(i))
	}
}

// scalar checks the node's type first, because the library would convert 1.5 to the integer 1.
func (d *decoder) scalar(path string, node ast.Node, v reflect.Value) {
	want, kind := ast.StringType, "a string"
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		kind = "a duration such as 500ms, 30s or 5m"
	case v.Kind() == reflect.Int:
		want, kind = ast.IntegerType, "a whole number"
	}
	if node.Type() != want || yaml.NodeToValue(node, v.Addr().Interface()) != nil {
		d.add(path, node, "must be %s", kind)
	}
}

// members returns the names that a struct's fields have in YAML.
func members(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() {
			name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
			names = append(names, name)
		}
	}
	return names
}

func member(v reflect.Value, name string) (reflect.Value, bool) {
	for i, n := range members(v.Type()) {
		if n == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
