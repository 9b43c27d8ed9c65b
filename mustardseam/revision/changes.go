package revision

import "reflect"

// Changes is the difference between two lists of entries that have a name.
type Changes[T any] struct {
	Set    []T      `json:"set,omitempty"`    // Entries that replace the one with the same name, or are appended.
	Remove []string `json:"remove,omitempty"` // Names of the removed entries.
	Order  []string `json:"order,omitempty"`  // All names in the new order; nil if applying Set and Remove yields that order.
	Empty  bool     `json:"empty,omitempty"`  // The new list is empty rather than nil.
}

// changes returns the difference between two lists, nil when they are equal.
func changes[T any](from, to []T, name func(T) string) *Changes[T] {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	c := &Changes[T]{Empty: to != nil && len(to) == 0}
	old := index(from, name)
	kept := index(to, name)
	for _, v := range to {
		if i, ok := old[name(v)]; !ok || !reflect.DeepEqual(from[i], v) {
			c.Set = append(c.Set, v)
		}
	}
	for _, v := range from {
		if _, ok := kept[name(v)]; !ok {
			c.Remove = append(c.Remove, name(v))
		}
	}
	if !reflect.DeepEqual(names(apply(from, c, name), name), names(to, name)) {
		c.Order = names(to, name)
	}
	return c
}

// apply returns the list after the changes; the old list is not changed.
func apply[T any](from []T, c *Changes[T], name func(T) string) []T {
	if c == nil {
		return from
	}
	set, gone := index(c.Set, name), map[string]bool{}
	for _, n := range c.Remove {
		gone[n] = true
	}
	known := map[string]bool{}
	var list []T
	for _, v := range from {
		n := name(v)
		known[n] = true
		if i, ok := set[n]; ok {
			v = c.Set[i]
		}
		if !gone[n] {
			list = append(list, v)
		}
	}
	for _, v := range c.Set {
		if !known[name(v)] {
			list = append(list, v)
		}
	}
	if c.Empty && list == nil {
		list = []T{}
	}
	return arrange(list, c.Order, name)
}

// arrange returns the entries in the given order of names, or unchanged if order is nil.
func arrange[T any](list []T, order []string, name func(T) string) []T {
	if order == nil {
		return list
	}
	at := index(list, name)
	var arranged []T
	for _, n := range order {
		if i, ok := at[n]; ok {
			arranged = append(arranged, list[i])
		}
	}
	return arranged
}

// index returns the positions of the entries by name.
func index[T any](list []T, name func(T) string) map[string]int {
	at := make(map[string]int, len(list))
	for i, v := range list {
		at[name(v)] = i
	}
	return at
}

func names[T any](list []T, name func(T) string) []string {
	var all []string
	for _, v := range list {
		all = append(all, name(v))
	}
	return all
}
