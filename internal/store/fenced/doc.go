// Package fenced stores named values in a directory that several processes may write to, of which
// each has a fencing token that only rises, such as the term of a lease.
//
// A file system checks no tokens: a writer that lost its lease may be paused between its look at
// the directory and its write for any time. So the token is part of the file's name, and readers
// take the file with the highest one. A late write with an old token is a file that nobody reads,
// and the next write removes it.
//
// # Durability
//
// When Write returns nil, the value is durable: it was written under a temporary name (suffix .new)
// and fsynced, renamed, and the directory was fsynced. Older files are removed afterwards without a
// sync; a crash may leave any of them, and readers pass over them. When Write returns an error, the
// value may be there or not; if it is, it counts only against lower tokens.
//
// A crash at any point leaves the value before or the new one, whole, and perhaps a temporary file,
// torn or whole, which no reader opens and the next write of the same name, token and serial
// replaces.
//
// Read checks a checksum and passes over files that are torn or damaged, so that an unreadable file
// with a high token does not hide the value before. MaxValueBytes bounds a value, when writing and
// when reading. There is no lock.
//
// # Format
//
// A file NAME.TOKEN.SERIAL, numbers as 16 hexadecimal digits, holds a checksum of 8 bytes (xxHash64
// of the value, big-endian) and the value. The serial rises with each write of a token.
package fenced
