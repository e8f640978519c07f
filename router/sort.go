package router

import "slices"

// insertSorted inserts x into a list that is in the order of compare, which finds no two of its
// members equal.
func insertSorted[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}
