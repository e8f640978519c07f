// Package memory stores the statistics of the decision module in snapshots on disk, so that a
// controller that restarts need not gather them again while its clients get slower answers. Package
// core/restore decides which records of a snapshot are still valid.
//
// # Writing
//
// A SnapshotWriter runs in a goroutine of its own, so that a slow disk delays no query. At each
// interval it copies the statistics from the event loop, a few records at a time with a pause
// between two parts, and package snapshots writes them as one file. The records of a file are
// therefore from slightly different times; each has its own timestamp.
//
// # Durability
//
// A snapshot is durable once it is counted as written: its file was fsynced, renamed, and its
// directory fsynced. A crash loses the statistics gathered since then, on average half an interval,
// and nothing else: whatever the point of the crash, the directory has the previous snapshot or the
// new one, whole, and perhaps a temporary file that no reader opens.
//
// Statistics only influence decisions. No answer to a client depends on what is stored here, so a
// lost or old snapshot costs speed and never correctness.
//
// # Reading
//
// Load returns the newest file that is whole. If none is, because of a torn write, a bad checksum
// or sections that this program can't decode, it returns the sections of the newest file that can
// be used. A file without its header section is not used at all, as it does not name the controller
// that it belongs to. At start the reading is bounded in time, too: see LoadWithTimeout.
//
// There are bounds on the bytes of a section and of a file and the number of sections (FileBounds),
// on the records and the bytes of names in a section, on the records of a file, and on the number
// of files that are read.
package memory
