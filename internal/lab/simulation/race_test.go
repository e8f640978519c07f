//go:build race

package simulation

// The race detector makes a simulation ten times as slow, and a simulation runs in one goroutine.
const simulationsPlayed = 24
