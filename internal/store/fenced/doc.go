// Package fenced stores named values in a directory that several processes may write to. Each
// writer has a fencing token, such as the term of a lease, which is higher for each new owner.
//
// A file system checks no tokens: a writer that lost its lease may have been paused for any time
// between its listing of the directory and its write. The token is therefore part of the file's
// name, and readers use the file with the highest token. A late write with an old token creates a
// file that nobody reads, and the next write removes it.
//
// # Durability
//
// When Write returns nil, the value is durable: it was written under a temporary name (suffix .new)
// and fsynced, renamed, and the directory was fsynced. Older files are removed afterwards without a
// sync; a crash may leave any of them, and readers ignore them. When Write returns an error, the
// value may be stored or not; if it is, it only supersedes values with lower tokens.
//
// A crash at any point leaves the previous value or the new one, whole, and perhaps a temporary
// file, torn or whole, which no reader opens and the next write of the same name, token and serial
// replaces.
//
// Read verifies a checksum and skips files that are torn or damaged, so that an unreadable file
// with a high token does not hide the previous value. MaxValueBytes bounds a value, when writing
// and when reading. There is no lock.
//
// # Format
//
// A file NAME.TOKEN.SERIAL, with the numbers as 16 hexadecimal digits, contains a checksum of 8
// bytes (xxHash64 of the value, big-endian) and the value. The serial increases with each write
// that has the same token.
package fenced
