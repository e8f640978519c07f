package router

import (
	"slices"
)

// insertSorted keeps list ordered by compare, which must tell all its members apart.
func insertSorted[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}
