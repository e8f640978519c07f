// Package fleet is the service through which a controller participates in a fleet: it drives the
// protocol core in internal/core/fleet with sockets, a disk and the monotonic clock, runs the jobs
// of the leases that the controller holds, and serves operators' requests. It is disabled unless
// the operator's file has a fleet block. No client query waits for it, and a controller cut off
// from all other controllers serves clients as it would without it.
//
//	links, frames      connections between controllers, and their wire format
//	job                the interfaces between the service and the jobs of leases
//	maintenance        the job that takes engines out of service and returns them to it
//	sharedstatistics   the job that gives starting controllers the fleet's statistics
//	configuration      checks, stores and applies versions of the fleet's configuration
//	control            the operators' Unix socket
//	faultinjection     clock, connections and disk; the only package that a test rig's build changes
//
// # Goroutines
//
// A session is one run of the core. A single goroutine owns it: the core, the state of the jobs and
// the session's part of the configuration. Everything else reaches it through the service's inbox:
// connections deliver messages (dropped if the inbox is full, like messages lost by the network),
// operators' requests wait for at most control.Timeout, and the daemon calls SetWilling and Stop.
// The session's goroutine never blocks: another goroutine writes the quorum's records one at a
// time, and the configuration runs its work in goroutines of its own.
//
// A Service outlives its sessions. A session ends when the disk fails or the core panics, as the
// consensus library does on an inconsistent state. The jobs then lose their leases, and run starts
// another session from the records in the folder, after a backoff between restartBackoff and
// maxRestartBackoff. Until then the service discards the functions in the inbox.
//
// # Durability
//
// The core outputs a batch with a record to be stored. It releases the messages that depend on the
// record only in Advance, which the session calls once the record is durable, so a disk that hangs
// blocks only this controller's part in the quorum. Compactions replace the log in the same way
// (Compacted). The process that has a folder open holds a lock on it. A write that hangs at the end
// of a session keeps the lock, so that no other process writes to the folder.
//
// # Shutdown
//
// Stop releases the leases and announces that this controller leaves the fleet; the service keeps
// answering. Close ends the goroutines, waits for them (but not for a disk that hangs), and closes
// the jobs last.
package fleet
