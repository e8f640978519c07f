//go:build !race

package simulation

const simulationsPlayed = 240
