package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// scalarText formats a decoded JSON value as a table cell; lists and objects are shown by their size.
func scalarText(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case []any:
		return fmt.Sprintf("[%d]", len(v))
	case map[string]any:
		return fmt.Sprintf("{%d}", len(v))
	default:
		b, err := json.Marshal(v)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
}

// entries returns the objects of a JSON list, or the objects in a JSON object sorted by name, each with its name as an
// additional member. It returns nil for other values.
func entries(raw json.RawMessage) []map[string]any {
	var list []map[string]any
	if json.Unmarshal(raw, &list) == nil {
		return list
	}
	var named map[string]map[string]any
	if json.Unmarshal(raw, &named) != nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		object := map[string]any{"name": name}
		maps.Copy(object, named[name])
		list = append(list, object)
	}
	return list
}

// flatten returns a copy of object in which the members of nested objects become members with dotted names, such as
// home.epoch.
func flatten(object map[string]any) map[string]any {
	out := map[string]any{}
	for name, v := range object {
		inner, ok := v.(map[string]any)
		if !ok {
			out[name] = v
		}
		for innerName, value := range inner {
			out[name+"."+innerName] = value
		}
	}
	return out
}

// leadingColumns lists the columns that come first in a table of entries, in this order.
var leadingColumns = []string{"id", "name", "instance", "pool", "route", "data-centre", "address", "state", "revision"}

// writeEntries prints a table with a column for each member that any entry has.
func writeEntries(w io.Writer, list []map[string]any) {
	list = slices.Clone(list)
	for i, object := range list {
		list[i] = flatten(object)
	}
	columns := columnNames(list)
	head := make([]any, len(columns))
	for i, c := range columns {
		head[i] = strings.ToUpper(c)
	}
	writeRow(w, head...)
	for _, object := range list {
		cells := make([]any, len(columns))
		for i, c := range columns {
			cells[i] = scalarText(object[c])
		}
		writeRow(w, cells...)
	}
}

func columnNames(list []map[string]any) []string {
	present := map[string]bool{}
	for _, object := range list {
		for name := range object {
			present[name] = true
		}
	}
	var columns []string
	for _, name := range leadingColumns {
		if present[name] {
			columns = append(columns, name)
			delete(present, name)
		}
	}
	return append(columns, slices.Sorted(maps.Keys(present))...)
}
