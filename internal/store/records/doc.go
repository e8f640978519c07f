// Package records stores a log of records in a directory: a write-ahead log that does not interpret
// its records. The loss of a snapshot costs some statistics, but an appended record must not be
// lost: its writer has made commitments to others that depend on it.
//
// # Durability
//
// When Log.Append returns nil, the record is durable: it was written to the end of the newest file
// and the file was fsynced; with the first record of a file the directory was fsynced too. When it
// returns an error, the record may be stored, torn or missing; nothing more is appended, because
// what precedes a further record would be unknown. A new Open returns what is stored.
//
// When Log.Replace returns nil, its record is durable in a file of its own. The earlier files are
// removed afterwards, without a sync: a crash may leave any of them, and Open then returns their
// records too, before the new one. The caller must therefore treat a replacing record as the whole
// state, whatever precedes it.
//
// A crash at any point leaves all records for which Append or Replace returned, in order, and
// perhaps the one that was being written. If that is torn (cut short, or zeros where the write was
// lost), Open drops it and reports it as a torn tail. A record that fails its checksum with other
// records after it can't be a torn write: the file was damaged later, and Open fails with
// ErrDamaged. Each process begins a new file, so every file may end in a torn tail.
//
// A damaged log accepts Replace only, which keeps the damaged files under another name (prefix
// "damaged-").
//
// Bounds limits the bytes of a record, when writing and reading, and the bytes of all files and the
// number of files, when reading. Open returns all records in memory. A lock reserves the directory
// for one process.
//
// # Format
//
// All numbers are unsigned and big-endian. A file named "records-" and its number as 16 hexadecimal
// digits contains:
//
//	magic      8 bytes
//	number     8: files are read in the order of their numbers
//	checksum   8, xxHash64 of the 16 bytes before
//	records, each:
//	  length   4, of the payload
//	  checksum 8, xxHash64 of the file's number, the record's index in the file, its length and
//	           its payload
//	  payload
package records
