// Package configuration is a controller's part in the fleet's configuration: it checks documents,
// stores versions, has the program take them into use, and answers operators. What is agreed on and
// what is fetched from whom is decided by internal/core/fleet/config.
//
// A Manager lives as long as the service. It knows which version the program uses. A Session lives
// as long as one run of the core; it opens the Folder and carries out what the core's replica asks
// for. A Client is for operators' requests.
//
// # Goroutines
//
// A Session belongs to the goroutine of the service's session, and none of its methods waits, but
// OpenSession and Close: these run before and after the core, and wait for the disk and the program
// within bounds, or until the service ends. Checks, writes and calls of Host.Apply run in
// goroutines, one of each kind at a time. The session's goroutine reads their results from Checked,
// Stored and Applied and passes them to CheckEnded, StoreEnded and ApplyEnded. A Client is called
// by the goroutines of operators' connections, and waits there; the replica is used by the
// session's goroutine alone (Executor).
//
// Host.Check and Host.Apply are each called once at a time. A panic of either counts as an error.
//
// # Durability
//
// The replica asks for a version to be applied once its document and the record that names it are
// durable, and the replica reports a version in force to other controllers once Host.Apply has
// returned. A record names a document that is durable, as the document is written first; documents
// are removed last. At a start the version of the record is applied before the core runs, so a
// controller never serves by an older version than it had, also when it can reach no other. A
// version of another generation of the fleet stays in use until one of this generation is applied,
// and doesn't count as this generation's.
//
// # Failures and bounds
//
// A disk that fails counts as not stored, and the version is not applied. A disk that hangs holds
// up only its own write: Close waits for storeGrace, and then the folder stays locked by this
// process, so no other process writes to it meanwhile. Close of a Manager waits for Host.Apply for
// ApplyGrace, as Apply may wait for the goroutine that closes the service. At most maxWaiters
// requests of operators wait for the replica, each for the time of its kind; one more is answered
// with an error at once. When a session ends, those that wait get an error.
package configuration
