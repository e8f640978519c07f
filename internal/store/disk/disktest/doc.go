// Package disktest is a model of a disk for tests of stores. It implements disk.Disk in memory, can
// be made full, failing or hanging, and computes what a crash at any operation would leave: each
// CrashMode treats unsynced changes in one of the ways that real file systems have shown (lost,
// torn, out of order).
//
// To test a crash at every operation, a test passes to OnOperation a function that opens the store
// again on the disk that AfterCrash returns.
package disktest
