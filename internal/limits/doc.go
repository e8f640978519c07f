// Package limits holds the sizes, counts and durations that bound the network code, in one type.
// For computes it at start from the resources that the platform grants; after that it is read-only.
// Values on which routing decisions depend are not here but in package router.
package limits
