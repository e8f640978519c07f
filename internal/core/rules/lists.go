package rules

import "slices"

// isSubset reports whether all members of a list are in another one. A nil list stands for all
// members, and is a subset of none.
func isSubset[T comparable](list, of []T) bool {
	return list != nil && !slices.ContainsFunc(list, func(x T) bool { return !slices.Contains(of, x) })
}

// intersect returns the members that two lists share. A nil list stands for all members; the
// result is nil only if both lists are.
func intersect[T comparable](a, b []T) []T {
	if a == nil {
		return b
	}
	shared := []T{}
	for _, x := range a {
		if b == nil || slices.Contains(b, x) {
			shared = append(shared, x)
		}
	}
	return shared
}
