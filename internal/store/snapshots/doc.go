// Package snapshots stores whole states in a directory, each as one file of sections. It does not
// interpret the sections.
//
// # Durability
//
// When Folder.Write returns nil, the new snapshot is durable under its final name: the file was
// written under a temporary name (suffix .new) and fsynced, renamed, and the directory was fsynced.
// When it returns an error, the new snapshot may be stored or not, and the earlier ones are
// unchanged.
//
// A crash leaves the following, depending on when it happens:
//
//   - before the rename is durable: the earlier snapshots, and perhaps a temporary file, torn or
//     whole, which no reader opens and the next Write removes;
//   - after that: the new snapshot, and earlier ones that Write had not removed yet. These are
//     removed by the next Write.
//
// Only a disk that acknowledges an fsync without carrying it out can leave a torn file under a
// final name. The header and every section have a checksum, and the end section has the number of
// sections, so that a torn write, a flipped bit or a missing section is detected when the file is
// read.
//
// Reading: Files lists the snapshots, newest first. Read returns the sections of one of them, and
// skips those with a wrong checksum. Two files are retained, so that the previous one can be used
// if the newest can't be read.
//
// Bounds limits the bytes of a section, the sections of a file and the bytes of a file. It applies
// when writing, and when reading whatever lengths a file claims: no more than Bounds.Section bytes
// are allocated at a time.
//
// A lock reserves the directory for one process. Files and Read need no lock, as a file under its
// final name never changes.
//
// # Format
//
// All numbers are unsigned and big-endian. A file named "snapshot-" and its serial number as 16
// hexadecimal digits contains:
//
//	magic      8 bytes
//	version    2
//	serial     8, increases by one with each file of a directory
//	checksum   8, xxHash64 of the 18 bytes before
//	sections, each:
//	  kind     2
//	  length   4, of the payload
//	  checksum 8, xxHash64 of the serial, kind, length and payload
//	  payload
//	an end section, of kind 0; its payload is the number of the other sections, 4 bytes
package snapshots
