//go:build race

package membership

// The detector makes histories ten times as dear.
var measuredSizes = []int{6, 9, 12, 15}
