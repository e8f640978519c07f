package rules

import "slices"

// isSubset reports whether a list, of which nil is all, lies within another.
func isSubset[T comparable](list, of []T) bool {
	return list != nil && !slices.ContainsFunc(list, func(x T) bool { return !slices.Contains(of, x) })
}

// intersect is what two lists share, of which nil is all. It is nil only if both are.
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
