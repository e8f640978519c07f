//go:build race

package membership

// The race detector makes histories ten times as expensive.
var measuredSizes = []int{6, 9, 12, 15}
