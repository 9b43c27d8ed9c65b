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
	Path string `json:"path"`          // Path of the member, with list entries selected by name, as in teams[fitters].weight.
	Old  string `json:"old,omitempty"` // Old value as JSON; empty when it was added.
	New  string `json:"new,omitempty"` // New value as JSON; empty when it was removed.
}

// Diff returns the changes from one document to the other, sorted by section and name. The order of entries is ignored.
func Diff(from, to Document) ([]Change, error) {
	a, err := jsonMembers(from)
	if err != nil {
		return nil, err
	}
	b, err := jsonMembers(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, section := range []string{"format", "tiers", "teams", "data-centres", "pools", "backend-servers", "routes"} {
		changes = append(changes, compareValues(section, a[section], b[section])...)
	}
	return changes, nil
}

// jsonMembers returns the JSON members of the document as generic values; sections without entries are null or empty
// lists.
func jsonMembers(d Document) (map[string]any, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "compare configurations")
	}
	var members map[string]any
	return members, eris.Wrap(json.Unmarshal(b, &members), "compare configurations")
}

func compareValues(path string, a, b any) []Change {
	x, y := membersByName(a), membersByName(b)
	switch { // Compare a list by entry even when the other side has no entries.
	case x != nil && isList(a) && isEmpty(b):
		y = map[string]any{}
	case y != nil && isList(b) && isEmpty(a):
		x = map[string]any{}
	}
	if x != nil && y != nil {
		return compareMembers(path, x, y, isList(a) || isList(b))
	}
	if isEmpty(a) && isEmpty(b) || reflect.DeepEqual(a, b) {
		return nil
	}
	return []Change{{Path: path, Old: jsonText(a), New: jsonText(b)}}
}

func compareMembers(path string, a, b map[string]any, list bool) []Change {
	union := maps.Clone(a)
	maps.Copy(union, b)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(union)) {
		memberPath := path + "." + name
		if list {
			memberPath = path + "[" + name + "]"
		}
		changes = append(changes, compareValues(memberPath, a[name], b[name])...)
	}
	return changes
}

// membersByName returns the members of an object, or the objects in a list by name, or by index where the name is
// missing or repeated. It returns nil for other values.
func membersByName(v any) map[string]any {
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
		if _, duplicate := entries[name]; !ok || duplicate {
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

// isEmpty reports whether a member is missing or an empty list, which are equivalent.
func isEmpty(v any) bool {
	list, ok := v.([]any)
	return v == nil || ok && len(list) == 0
}

func jsonText(v any) string {
	if isEmpty(v) {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
