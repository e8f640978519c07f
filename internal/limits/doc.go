// Package limits holds the sizes, counts and times of the network code in one type. For fills it at
// start from what the platform grants; after that it is only read. Values on which decisions depend
// are not here but in package router.
package limits
