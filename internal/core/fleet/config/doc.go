// Package config distributes one configuration document to a fleet of controllers, and reports
// which version is in force at which controller.
//
// The quorum agrees on numbered versions, each the hash of a whole document. Documents are stored
// by hash, fetched in chunks from any member that has them, checked, stored durably, and only then
// applied. Each controller reports the version it applied; relays collect the reports for the
// quorum's leader.
//
// # Contract
//
// The package has no I/O, no clock and no goroutine. A [Replica] belongs to one goroutine, that of
// its node (package node), which passes in the time and the messages of authenticated members,
// answers the replica's questions about the fleet ([Environment]), and carries out each [Output]
// ([Replica.Take]):
//
//   - Check: the document is checked as `mintkeel check` does, and the result passed to
//     [Replica.Checked].
//   - Store: the document, then the current version, are made durable, then unneeded documents are
//     removed; the result is passed to [Replica.Stored].
//   - Apply: the version is taken into use; the result is passed to [Replica.Applied]. It comes
//     only after its version passed the check and was stored as the current one, so a controller
//     that restarts continues with it.
//   - Messages may be sent at once, and may be lost.
//
// At most one of each of Check, Store and Apply is pending. [Replica.Tick] is called when
// [Replica.Next] is reached, and [Replica.QuorumChanged] when the quorum's state, its leader or
// this controller's role in it may have changed. Times are in ms of a monotonic clock that only the
// caller reads. Random choices come from a generator with the seed Options.Seed.
//
// # Safety
//
// A proposal enters the quorum's log only when a majority of the voters store its document durably,
// so an agreed version can always be fetched. The version in force at a controller never decreases
// while the controller runs. A member is authenticated, but not trusted with content: a document
// counts only if it matches its hash, and a voter rejects an announced version that contradicts its
// own state. The memory that peers can make a replica use is bounded by the constants of each file
// and of limits.go.
//
// # Files
//
// Types: version.go, messages.go, output.go, environment.go, state.go, describe.go, limits.go. The
// replica: replica.go, target.go (the version to be fetched), announce.go (summaries), download.go,
// fetch.go and sources.go (getting documents), documents.go and retention.go (keeping them),
// checks.go, apply.go, storage.go. Proposals: propose.go (at the origin), candidate.go (at the
// leader), hold.go, serve.go and history.go (at voters). Reports: reports.go, batches.go (from
// relays to the leader), status.go. Queries: query.go, startup.go, lookup.go. Members: alive.go,
// relays.go (which members are relays), leader.go.
package config
