//go:build !race

package recorded

// sceneStride is the distance between two scenes that are played: all are.
const sceneStride = 1
