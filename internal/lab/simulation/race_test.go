//go:build race

package simulation

// The race detector makes a simulation ten times as expensive, and one runs on one goroutine.
const simulationsPlayed = 24
