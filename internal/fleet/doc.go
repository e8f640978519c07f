// Package fleet is the service by which a controller takes part in a fleet: it drives
// internal/core/fleet with sockets, a disk and the steady clock, runs the jobs of the leases that
// the controller holds, and answers operators. It is off unless the operator's file has a block
// fleet. No answer to a client waits for it, and with all connections to other controllers cut a
// controller serves as it would without it.
//
//	links, frames      connections to other controllers, and the form of what they carry
//	job                what a job of a lease must do and may do
//	maintenance        the job that takes engines out of service and back
//	sharedstatistics   the job that gives new controllers the statistics of the fleet
//	configuration      versions of the fleet's configuration: check, store, apply
//	control            the operators' socket
//	faultinjection     clock, connections and disk; the one package that a rig's build changes
//
// # Goroutines
//
// A session is one run of the core, and one goroutine owns it: the core, the jobs' state and the
// part of the configuration. Others reach it through the service's inbox: connections with messages
// (which are dropped if the inbox is full, as if the network had lost them), operators' requests
// (which wait for Timeout at most), and the daemon (SetWilling, Stop). The goroutine never waits:
// one other goroutine writes the quorum's records, one after another; the configuration has
// goroutines of its own.
//
// Service outlives sessions. When a disk fails, or the core panics as the consensus library does
// where it finds its state broken, the session ends, the jobs lose their leases, and run begins
// another, with the records that the folder has, after a backoff from restartBackoff to
// maxRestartBackoff. Meanwhile the inbox is emptied without effect.
//
// # Durability
//
// The core hands out a batch with a record; its messages that promise something are handed out by
// Advance, which is called once the record is durable. So a disk that hangs holds up the quorum's
// part of this controller, and nothing else. Compactions replace the log in the same way
// (Compacted). A folder is locked by the process that has it open. A write that hangs at the end of
// a session keeps the lock, so that nobody else writes to the folder.
//
// # Shutdown
//
// Stop gives up the leases and says that this controller leaves; it goes on answering. Close ends
// the goroutines, waits for them (but not for a disk that hangs), and closes the jobs last.
package fleet
