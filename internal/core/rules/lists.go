package rules

import "slices"

// isSubset reports whether all members of a list are in another. A nil list stands for all, and is
// in none.
func isSubset[T comparable](list, of []T) bool {
	return list != nil && !slices.ContainsFunc(list, func(x T) bool { return !slices.Contains(of, x) })
}

// intersect is what two lists share; nil stands for all. It is nil only if both are.
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
