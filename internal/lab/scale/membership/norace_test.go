//go:build !race

package membership

var measuredSizes = Options{Quick: true}.sizes()
