// Package memory stores the statistics of the decision module in snapshots on disk, so that a
// controller that restarts need not gather them again at its clients' cost. Package core/restore
// decides what of a snapshot still counts.
//
// # Writing
//
// A SnapshotWriter runs in a goroutine of its own, so that no disk, however slow, delays a query.
// At each interval it copies the statistics from the event loop, a few records at a time with a
// pause between two parts, and writes them as one file by package snapshots. The records of a file
// are therefore from slightly different times; each has its own.
//
// # Durability
//
// A snapshot is durable once it is counted as written: its file was fsynced, renamed, and its
// directory fsynced. A crash loses the statistics gathered since then, on average half an interval,
// and nothing else: whatever the point of the crash, the directory has the snapshot before or the
// new one, whole, and perhaps a temporary file that no reader opens.
//
// Statistics only steer decisions. Nothing that an answer to a client rests on is stored here, so a
// lost or old snapshot costs speed and never correctness.
//
// # Reading
//
// Load takes the newest file that is whole. If none is, because of a torn write, a bad checksum or
// sections that this program can't decode, it takes what can be used of the newest. A file without
// its header is not used at all, as nobody could tell which controller it belongs to. At start the
// reading is bounded in time, too: see LoadWithTimeout.
//
// Bounded are bytes of a section and a file and the number of sections (FileBounds), records and
// bytes of names in a section, records of a file, and the number of files that are looked at.
package memory
