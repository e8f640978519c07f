//go:build race

package recorded

// sceneStride is the distance between two scenes that are played. The race detector makes a scene
// several times as expensive.
const sceneStride = 5
