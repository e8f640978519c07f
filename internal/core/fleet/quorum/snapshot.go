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

// snapshot is the agreed state, which is the same on all members that have applied the same index.
// It is encoded as CBOR by the integer keys of its fields.
type snapshot struct {
	Leases       []lease.Lease `cbor:"1,keyasint"`
	Incarnations []Incarnation `cbor:"2,keyasint"`
	// Retired are incarnations that have ended, as their disk was lost or restored.
	Retired []Incarnation `cbor:"3,keyasint"`
	// Removed are the members removed by an operator's command.
	Removed []members.ID `cbor:"4,keyasint,omitempty"`
	// Config is nil if no version has been agreed on.
	Config *config.State `cbor:"5,keyasint,omitempty"`
}

// snapshot returns the agreed state as this member has applied it.
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

// restore replaces the agreed state by that of a snapshot.
func (r *Replica) restore(snap *pb.Snapshot) error {
	var s snapshot
	if err := cbor.Unmarshal(snap.GetData(), &s); err != nil {
		return fmt.Errorf("agreed state: %w", err)
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
// was added; nil: there is none to write. The caller makes it durable while no Ready waits for
// Advance, passes it to Compacted, and may then delete the earlier records.
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

// fullRecord returns a record that holds all that the records so far do.
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

// Compacted takes over the serial number of a record of Compact that became durable.
func (r *Replica) Compacted(rec *Record) { r.serial = rec.Serial }
