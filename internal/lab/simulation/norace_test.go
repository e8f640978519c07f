//go:build !race

package simulation

const worldsPlayed = 240
