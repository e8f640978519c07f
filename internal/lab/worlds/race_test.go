//go:build race

package worlds

// The detector makes worlds ten times as dear, and a world has one goroutine.
const worldsPlayed = 24
