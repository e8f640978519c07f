//go:build !race

package fleet

const historiesPlayed = 100
