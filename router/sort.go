package router

import "slices"

// insertSorted inserts x into a list that is sorted by compare. No two elements may be equal by it.
func insertSorted[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}
