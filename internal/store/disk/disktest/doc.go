// Package disktest is a model of a disk for tests of stores. It implements disk.Disk in memory, can
// be made full, failing or hanging, and shows what a crash at any operation would leave: each
// CrashMode treats what was not synced in another way that real file systems have shown (lost,
// torn, out of order).
//
// A test of a crash at every point passes OnOperation a function that opens the store anew on the
// disk that AfterCrash returns.
package disktest
