package operator

import "slices"

// entry is an element of one of a document's lists, identified there by its unique key.
type entry[T any] interface {
	key() string
	clone() T // Returns a deep copy, which shares no slice and no pointer with the receiver.
}

// putEntry returns a deep copy of list in which v replaces the entry with the same key or is appended.
func putEntry[T entry[T]](list []T, v T) []T {
	list = cloneEntries(list)
	at := indexOfKey(list, v.key())
	if at < 0 {
		return append(list, v.clone())
	}
	list[at] = v.clone()
	return list
}

// removeEntry returns a deep copy of list without the entry with the given key.
func removeEntry[T entry[T]](list []T, key string) []T {
	return slices.DeleteFunc(cloneEntries(list), func(v T) bool { return v.key() == key })
}

func cloneEntries[T entry[T]](list []T) []T {
	out := make([]T, len(list))
	for i, v := range list {
		out[i] = v.clone()
	}
	return out
}

// indexOfKey returns the index of the entry with the given key, or -1.
func indexOfKey[T entry[T]](list []T, key string) int {
	return slices.IndexFunc(list, func(v T) bool { return v.key() == key })
}

func entryKeys[T entry[T]](list []T) []string {
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.key()
	}
	return names
}
