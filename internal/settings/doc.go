// Package settings reads a deployment's settings, which are values by key, into the types of
// package router. It defines the names of the keys: the daemon and the simulator's adapter both
// read settings through it.
//
// The keys are those of the platform and keep its terms. Each is mapped to the term of this project
// in the function that reads it.
package settings
