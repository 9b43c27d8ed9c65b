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

// Decoder holds the result of Decode, which continues after an invalid field so that one run reports all of them.
type Decoder struct {
	Lines  map[string]int // Line numbers of the fields that are in the document, by path.
	Faults FieldErrors    // Errors found in the document; empty when it is valid.
}

// Decode decodes a single YAML or JSON document into the struct that out points to. Fields that are missing in the
// document or invalid there keep their values.
func Decode(b []byte, out any) *Decoder {
	d := &Decoder{Lines: map[string]int{}}
	file, err := parser.ParseBytes(b, 0)
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	if len(file.Docs) > 1 {
		d.addFault("", file.Docs[1].Body, "must be a single YAML document")
		return d
	}
	if len(file.Docs) == 1 && file.Docs[0].Body != nil {
		d.decodeValue("", file.Docs[0].Body, reflect.ValueOf(out).Elem())
	}
	return d
}

// Unusable reports whether no field could be read, in which case checks of single fields would only add irrelevant
// errors.
func (d *Decoder) Unusable() bool { return len(d.Faults) == 1 && d.Faults[0].Path == "" }

func (d *Decoder) addFault(path string, node ast.Node, format string, args ...any) {
	line := 0
	if node != nil {
		line = node.GetToken().Position.Line
	}
	d.Faults = append(d.Faults, FieldError{Path: path, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (d *Decoder) addSyntaxFault(err error) {
	fieldError := FieldError{Reason: "invalid YAML: " + err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		fieldError.Line = yamlErr.GetToken().Position.Line
		fieldError.Reason = "invalid YAML: " + yamlErr.GetMessage()
	}
	d.Faults = append(d.Faults, fieldError)
}

func (d *Decoder) decodeValue(path string, node ast.Node, v reflect.Value) {
	d.Lines[path] = node.GetToken().Position.Line
	_, text := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case node.Type() == ast.NullType:
		return // A null value is treated as a missing field.
	case text:
		d.decodeScalar(path, node, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(path, node, v.Elem())
	case v.Kind() == reflect.Struct:
		d.decodeMapping(path, node, v)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(path, node, v)
	default:
		d.decodeScalar(path, node, v)
	}
}

func (d *Decoder) decodeMapping(path string, node ast.Node, v reflect.Value) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.addFault(path, node, "must be a mapping with the members %s", strings.Join(memberNames(v.Type()), ", "))
		return
	}
	for it := m.MapRange(); it.Next(); {
		name := it.Key().GetToken().Value
		field, ok := findMember(v, name)
		if !ok {
			d.addFault(joinPath(path, name), it.Key(), "unknown member; allowed: %s", strings.Join(memberNames(v.Type()), ", "))
			continue
		}
		d.decodeValue(joinPath(path, name), it.Value(), field)
	}
}

func (d *Decoder) decodeSequence(path string, node ast.Node, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFault(path, node, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, element := range list.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, v.Index(i))
	}
}

// decodeScalar checks the node's type first, because the library converts 1.5 to the integer 1 and a malformed time
// to the zero time.
func (d *Decoder) decodeScalar(path string, node ast.Node, v reflect.Value) {
	ok, kind := accepts(node.Type(), v)
	if ok {
		ok = assign(node, v) == nil
	}
	if !ok {
		d.addFault(path, node, "must be %s", kind)
	}
}

func assign(node ast.Node, v reflect.Value) error {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return text.UnmarshalText([]byte(node.GetToken().Value))
	}
	return yaml.NodeToValue(node, v.Addr().Interface())
}

// accepts reports whether a node of type n can be decoded into v, and describes the values that v allows.
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
