package operator

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Change is a difference between two documents.
type Change struct {
	Path string `json:"path"`          // By names, as in teams[fitters].weight.
	Old  string `json:"old,omitempty"` // JSON; empty when added.
	New  string `json:"new,omitempty"` // JSON; empty when removed.
}

// Diff lists what changes from one document to the other, by section and name; the order of entries does not count.
func Diff(from, to Document) ([]Change, error) {
	a, err := generic(from)
	if err != nil {
		return nil, err
	}
	b, err := generic(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, section := range []string{"format", "tiers", "teams", "data-centres", "pools", "backend-servers", "routes"} {
		changes = append(changes, compare(section, a[section], b[section])...)
	}
	return changes, nil
}

// generic returns the document's JSON members, in which sections that have no entries are missing.
func generic(d Document) (map[string]any, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "compare configurations")
	}
	var members map[string]any
	return members, eris.Wrap(json.Unmarshal(b, &members), "compare configurations")
}

func compare(path string, a, b any) []Change {
	x, y := named(a), named(b)
	switch { // A list of entries is compared by entry even when the other side has none.
	case x != nil && isList(a) && empty(b):
		y = map[string]any{}
	case y != nil && isList(b) && empty(a):
		x = map[string]any{}
	}
	if x != nil && y != nil {
		return compareMembers(path, x, y, isList(a) || isList(b))
	}
	if empty(a) && empty(b) || reflect.DeepEqual(a, b) {
		return nil
	}
	return []Change{{Path: path, Old: text(a), New: text(b)}}
}

func compareMembers(path string, a, b map[string]any, list bool) []Change {
	union := maps.Clone(a)
	maps.Copy(union, b)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(union)) {
		at := path + "." + name
		if list {
			at = path + "[" + name + "]"
		}
		changes = append(changes, compare(at, a[name], b[name])...)
	}
	return changes
}

// named returns the members of an object, or the entries of a list by their names; nil for anything else.
func named(v any) map[string]any {
	if object, ok := v.(map[string]any); ok {
		return object
	}
	list, ok := v.([]any)
	if !ok || len(list) == 0 {
		return nil
	}
	entries := map[string]any{}
	for i, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		name, ok := object["name"].(string)
		if _, twice := entries[name]; !ok || twice {
			name = strconv.Itoa(i)
		}
		entries[name] = element
	}
	return entries
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

// empty reports whether a member is missing or an empty list, which mean the same.
func empty(v any) bool {
	list, ok := v.([]any)
	return v == nil || ok && len(list) == 0
}

func text(v any) string {
	if empty(v) {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
