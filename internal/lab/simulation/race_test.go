//go:build race

package simulation

// The detector makes worlds ten times as dear, and a world has one goroutine.
const worldsPlayed = 24
