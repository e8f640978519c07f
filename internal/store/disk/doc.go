// Package disk is the interface between the stores and a file system: one directory, and as few
// operations on it as the stores need. Folder implements it with the operating system;
// disktest.Disk is a model that loses, tears and reorders whatever was not synced, for tests.
//
// Durability: nothing is durable when an operation returns, except by Sync.
//
//   - File.Sync (fsync of the file) makes the content written so far durable. Before it, a crash
//     may leave any part of it: nothing, a prefix (a torn write), or zeros where a write was lost
//     and a later one was not.
//   - Disk.Sync (fsync of the directory) makes every create, rename and remove so far durable.
//     Before it, a crash may undo any of them, independently of the others.
//   - Rename replaces its target atomically: a reader finds the old file or the new one. A file
//     that must be whole under its final name is therefore written under another name, synced,
//     renamed, and the directory is synced. ReplaceFile does that for content in memory.
//
// The package computes no checksums: each store has its own, by which it detects damage by a crash
// or a bad disk. A directory listing is bounded (see Folder.Names); the stores bound the size of
// files.
package disk
