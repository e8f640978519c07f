// Package documents stores whole documents in a directory, each under the SHA-256 of its content,
// and one record that names the current document. It does not interpret their content.
//
// # Durability
//
// When Folder.Put returns nil, the document is durable; when Folder.SetCurrent returns nil, the
// record is durable; when Folder.ClearCurrent returns nil, the removal of the record is durable.
// Documents and the record are written in the same way: under a temporary name (suffix .new) and
// fsynced, renamed, and the directory is fsynced. Removal of a document is not synced: a crash may
// undo it.
//
// A crash at any point, or an error of SetCurrent, leaves the previous record or the new one,
// whole, with its document: SetCurrent accepts a document only if it is durable, and Remove refuses
// documents that a record in the directory may name. A temporary file, torn or whole, may be left;
// Open removes it. After an error of Put the document may be stored or not.
//
// Open reads all files. Each document is checked against its hash, and the record against its
// checksum, so that torn writes and later damage are detected. Files that don't match or exceed the
// bounds are removed and counted; a record whose document can't be used is removed too. An error of
// the disk does not count as damage: Open returns it and removes nothing, unless it concerns a
// document that is not current.
//
// Bounds limits the bytes of a document, the number of documents and the bytes of all documents,
// when writing and when reading; the record is limited to 64 KiB. Open returns all documents in
// memory. A lock reserves the directory for one process.
//
// # Format
//
// A file named "document-" and the hash in hexadecimal contains the document and nothing else. The
// file "current" contains:
//
//	magic      8 bytes
//	hash       32, of the current document
//	checksum   8, xxHash64 of the 40 bytes before and of the record, big-endian
//	record     the rest of the file
package documents
