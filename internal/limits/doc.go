// Package limits holds the sizes, counts and times of the network code in one type. For fills it at
// start from what the platform grants; it is then handed down and only read. Values that decisions
// rest on are not here but in package router.
package limits
