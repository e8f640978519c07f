// Package configuration runs a controller's part of the fleet's configuration: it checks documents,
// stores versions, has the host program apply them, and answers operators' requests. The replica in
// internal/core/fleet/config decides which versions are agreed on and which documents are fetched
// from which controller.
//
// A Manager lives as long as the service and knows which version the host uses. A Session lives as
// long as one run of the core; it opens the Folder and executes the replica's requests. A Client
// executes operators' requests.
//
// # Goroutines
//
// The goroutine of the service's session owns a Session, and none of its methods blocks, except
// OpenSession and Close. These run before and after the core, and wait for the disk and the host
// within bounds, or until the service closes. Checks, writes and calls of Host.Apply run in their
// own goroutines, one of each kind at a time. The session's goroutine receives their results from
// Checked, Stored and Applied and passes them to CheckEnded, StoreEnded and ApplyEnded. The
// goroutines of operators' connections call a Client and block in it; only the session's goroutine
// uses the replica (Executor).
//
// Host.Check and Host.Apply are each called by one goroutine at a time. A panic of either counts as
// an error.
//
// # Durability
//
// The replica requests that a version be applied once its document and the record that names it are
// durable. It reports a version as in force to other controllers once Host.Apply has returned. A
// record always names a durable document: the document is written before the record, and documents
// are removed last. At a start the version of the record is applied before the core runs, so a
// controller never serves by an older version than before, even if it reaches no other controller.
// A version of another generation of the fleet stays in use until one of this generation is
// applied, and does not count as a version of this generation.
//
// # Failures and bounds
//
// If a write fails, the version counts as not stored and is not applied. A disk that hangs blocks
// only its own write: Session.Close waits for at most storeGrace, after which the folder stays
// locked by this process, so that no other process writes to it. Manager.Close waits for Host.Apply
// for at most ApplyGrace, as Apply may wait for the goroutine that closes the service. At most
// maxWaiters requests of operators wait for the replica, each within the timeout of its kind;
// further ones get an error at once. When a session ends, the waiting requests get an error.
package configuration
