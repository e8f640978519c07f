//go:build !race

package recorded

// sceneStride is the distance between two scenes that are played; here all scenes are.
const sceneStride = 1
