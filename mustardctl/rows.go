package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// scalar returns a JSON value as a cell; lists and objects are shown by their size.
func scalar(v any) string {
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

// entries returns the objects of a JSON list, or of a JSON object by their names; nil for anything else.
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

// flat returns the entry with the members of its objects as members of their own, such as home.epoch.
func flat(object map[string]any) map[string]any {
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

// leading are the columns that stand first in a table of entries, in this order.
var leading = []string{"id", "name", "instance", "pool", "route", "data-centre", "address", "state", "revision"}

// writeEntries prints a table with a column for each member that any entry has.
func writeEntries(w io.Writer, list []map[string]any) {
	list = slices.Clone(list)
	for i, object := range list {
		list[i] = flat(object)
	}
	columns := columnsOf(list)
	head := make([]any, len(columns))
	for i, c := range columns {
		head[i] = strings.ToUpper(c)
	}
	row(w, head...)
	for _, object := range list {
		cells := make([]any, len(columns))
		for i, c := range columns {
			cells[i] = scalar(object[c])
		}
		row(w, cells...)
	}
}

func columnsOf(list []map[string]any) []string {
	present := map[string]bool{}
	for _, object := range list {
		for name := range object {
			present[name] = true
		}
	}
	var columns []string
	for _, name := range leading {
		if present[name] {
			columns = append(columns, name)
			delete(present, name)
		}
	}
	return append(columns, slices.Sorted(maps.Keys(present))...)
}
