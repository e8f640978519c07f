// Package documents stores whole documents in a directory, each under the SHA-256 of its content,
// and one record that names the current document. It knows nothing of what they mean.
//
// # Durability
//
// When Folder.Put returns nil, the document is durable; when Folder.SetCurrent returns nil, the
// record is; when Folder.ClearCurrent returns nil, the record is gone for good. Documents and the
// record are written in the same way: under a temporary name (suffix .new) and fsynced, renamed,
// and the directory is fsynced. Removal of a document is not synced: after a crash it may be there
// again.
//
// A crash at any point, or an error of SetCurrent, leaves the record before or the new one, whole,
// with its document: SetCurrent accepts a document only if it is durable, and Remove refuses
// documents that a record in the directory may name. A temporary file, torn or whole, may be left;
// Open removes it. After an error of Put the document may be there or not.
//
// Open reads everything back. Each document is checked against its hash, and the record against its
// checksum, so that a torn write or later damage shows. Files that don't match or exceed the bounds
// are removed and counted; a record of a document that can't be used is removed too. An error of
// the disk is no damage: Open returns it and removes nothing, unless it concerns a document that is
// not current.
//
// Bounds limits bytes of a document, number of documents and bytes of all, when writing and when
// reading; the record is limited to 64 KiB. Open returns all documents in memory. A directory
// belongs to one process by a lock.
//
// # Format
//
// A file "document-" and the hash in hexadecimal holds the document and nothing else. The file
// "current" holds:
//
//	magic      8 bytes
//	hash       32, of the current document
//	checksum   8, xxHash64 of the 40 bytes before and of the record, big-endian
//	record     all that follows
package documents
