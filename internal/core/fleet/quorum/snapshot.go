package quorum

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// snapshot is the replicated state, which is the same on all members that have applied the same
// index. It is encoded as CBOR by the integer keys of its fields.
type snapshot struct {
	Leases       []lease.Lease `cbor:"1,keyasint"`
	Incarnations []Incarnation `cbor:"2,keyasint"`
	// Retired are incarnations that have ended: they were removed, or another incarnation took their
	// place after their disk was lost or restored.
	Retired []Incarnation `cbor:"3,keyasint"`
	// Removed are the members removed by an operator's command.
	Removed []members.ID `cbor:"4,keyasint,omitempty"`
	// Config is nil if no version has been committed.
	Config *config.State `cbor:"5,keyasint,omitempty"`
}

// snapshot returns the replicated state as of the last entry that this member has applied.
func (r *Replica) snapshot() snapshot {
	s := snapshot{Leases: r.leases.List(), Retired: r.retired, Removed: r.removed}
	if len(r.config.Versions) > 0 {
		s.Config = r.config.Copy()
	}
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		s.Incarnations = append(s.Incarnations, r.incarnations[number])
	}
	return s
}

// restore replaces the replicated state by that of a snapshot.
func (r *Replica) restore(snap *pb.Snapshot) error {
	var s snapshot
	if err := cbor.Unmarshal(snap.GetData(), &s); err != nil {
		return fmt.Errorf("decode replicated state: %w", err)
	}
	r.leases.Restore(s.Leases)
	r.retired = s.Retired
	r.removed = s.Removed
	r.config = config.State{}
	if s.Config != nil {
		r.config = *s.Config
	}
	r.incarnations = map[uint64]Incarnation{}
	for _, incarnation := range s.Incarnations {
		r.incarnations[incarnation.Number()] = incarnation
	}
	metadata := snap.GetMetadata()
	r.voters = metadata.GetConfState()
	r.appliedIndex = metadata.GetIndex()
	r.snapshotIndex = metadata.GetIndex()
	r.changedIndex = metadata.GetIndex()
	r.appliedTerm = metadata.GetTerm()
	return nil
}

// Compact returns a record that replaces all earlier ones, if the log has grown long or a learner
// was added, or else nil. The caller makes the record durable while no Ready waits for Advance,
// passes it to Compacted, and may then delete the earlier records.
func (r *Replica) Compact() *Record {
	if !r.snapshotWanted || r.readyPending || r.node == nil || r.newIncarnation {
		return nil
	}
	r.snapshotWanted = false
	data, err := cbor.Marshal(r.snapshot())
	if err != nil {
		return nil
	}
	snap, err := r.storage.CreateSnapshot(r.appliedIndex, r.voters, data)
	if err != nil {
		return nil
	}
	r.storage.Compact(r.appliedIndex)
	r.snapshotIndex = r.appliedIndex
	return r.fullRecord(snap)
}

// fullRecord returns a record that replaces all records so far.
func (r *Replica) fullRecord(snap *pb.Snapshot) *Record {
	incarnation := r.incarnation
	rec := &Record{
		Serial:          r.serial + 1,
		Incarnation:     &incarnation,
		ReceivedSerials: sortedSerials(r.receivedSerials),
		Full:            true,
	}
	rec.Snapshot, _ = proto.Marshal(snap)
	if hard, _, err := r.storage.InitialState(); err == nil && hard != nil {
		rec.HardState, _ = proto.Marshal(hard)
	}
	first, _ := r.storage.FirstIndex()
	last, _ := r.storage.LastIndex()
	if entries, err := r.storage.Entries(first, last+1, maxEntriesBytes); err == nil {
		rec.addEntries(entries)
	}
	return rec
}

// Compacted continues after a record of Compact became durable.
func (r *Replica) Compacted(rec *Record) { r.serial = rec.Serial }
