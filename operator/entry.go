package operator

import "slices"

// entry is a member of one of a document's lists, unique there by its key.
type entry[T any] interface {
	key() string
	clone() T // Shares no slice and no pointer with the receiver.
}

// put returns a deep copy of list in which v replaces the entry of the same key or is appended.
func put[T entry[T]](list []T, v T) []T {
	list = copied(list)
	at := find(list, v.key())
	if at < 0 {
		return append(list, v.clone())
	}
	list[at] = v.clone()
	return list
}

// remove returns a deep copy of list without the entry of the key.
func remove[T entry[T]](list []T, key string) []T {
	return slices.DeleteFunc(copied(list), func(v T) bool { return v.key() == key })
}

func copied[T entry[T]](list []T) []T {
	out := make([]T, len(list))
	for i, v := range list {
		out[i] = v.clone()
	}
	return out
}

// find returns the index of the entry of the key, or -1.
func find[T entry[T]](list []T, key string) int {
	return slices.IndexFunc(list, func(v T) bool { return v.key() == key })
}

func keys[T entry[T]](list []T) []string {
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.key()
	}
	return names
}
