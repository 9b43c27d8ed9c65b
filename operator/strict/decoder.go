package strict

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decoder holds what a decoding found out: it goes on after a fault, so that one run reports all of them.
type Decoder struct {
	Lines  map[string]int // Line by path, of the fields that stand in the document.
	Faults FieldErrors
}

// Decode fills the struct that out points to from a single YAML or JSON document; fields that the document leaves out,
// and those with a fault, keep their values.
func Decode(b []byte, out any) *Decoder {
	d := &Decoder{Lines: map[string]int{}}
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

// Unusable reports whether no field could be read, so that checks of single fields would only add noise.
func (d *Decoder) Unusable() bool { return len(d.Faults) == 1 && d.Faults[0].Path == "" }

func (d *Decoder) add(path string, node ast.Node, format string, args ...any) {
	line := 0
	if node != nil {
		line = node.GetToken().Position.Line
	}
	d.Faults = append(d.Faults, FieldError{Path: path, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (d *Decoder) syntax(err error) {
	fault := FieldError{Reason: "invalid YAML: " + err.Error()}
	var pointed yaml.Error
	if errors.As(err, &pointed) && pointed.GetToken() != nil {
		fault.Line = pointed.GetToken().Position.Line
		fault.Reason = "invalid YAML: " + pointed.GetMessage()
	}
	d.Faults = append(d.Faults, fault)
}

func (d *Decoder) value(path string, node ast.Node, v reflect.Value) {
	d.Lines[path] = node.GetToken().Position.Line
	_, text := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case node.Type() == ast.NullType:
		return // As if the field were left out.
	case text:
		d.scalar(path, node, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, node, v.Elem())
	case v.Kind() == reflect.Struct:
		d.mapping(path, node, v)
	case v.Kind() == reflect.Slice:
		d.sequence(path, node, v)
	default:
		d.scalar(path, node, v)
	}
}

func (d *Decoder) mapping(path string, node ast.Node, v reflect.Value) {
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

func (d *Decoder) sequence(path string, node ast.Node, v reflect.Value) {
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

// scalar checks the node's type first, because the library would convert 1.5 to the integer 1 and a malformed time to
// the zero time.
func (d *Decoder) scalar(path string, node ast.Node, v reflect.Value) {
	ok, kind := accepts(node.Type(), v)
	if ok {
		ok = assign(node, v) == nil
	}
	if !ok {
		d.add(path, node, "must be %s", kind)
	}
}

func assign(node ast.Node, v reflect.Value) error {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return text.UnmarshalText([]byte(node.GetToken().Value))
	}
	return yaml.NodeToValue(node, v.Addr().Interface())
}

// accepts reports whether a node of that type fits the field, and what the field takes.
func accepts(n ast.NodeType, v reflect.Value) (bool, string) {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		return n == ast.StringType, "a duration such as 500ms, 30s or 5m"
	case v.Type() == reflect.TypeFor[time.Time]():
		return n == ast.StringType, "a time such as 2026-05-01T06:00:00Z"
	case v.Kind() == reflect.Int:
		return n == ast.IntegerType, "a whole number"
	case v.Kind() == reflect.Float64:
		return n == ast.IntegerType || n == ast.FloatType, "a number"
	case v.Kind() == reflect.Bool:
		return n == ast.BoolType, "true or false"
	default:
		return n == ast.StringType || n == ast.LiteralType, "a string"
	}
}
