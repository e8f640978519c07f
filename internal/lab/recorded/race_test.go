//go:build race

package recorded

// sceneStride is the distance between two scenes that are played. Only every fifth scene is, as the
// race detector makes a scene several times as expensive.
const sceneStride = 5
