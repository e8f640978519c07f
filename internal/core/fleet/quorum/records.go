package quorum

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Mark is the highest serial number that was received from an incarnation.
type Mark struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Serial      uint64      `cbor:"2,keyasint"`
}

// Record is what has to be durable before the rest of its batch has an effect. Records are kept in order; what a later
// one holds replaces what an earlier one held.
type Record struct {
	Serial      uint64       `cbor:"1,keyasint"`
	Incarnation *Incarnation `cbor:"2,keyasint,omitempty"` // an incarnation begins: all records before it are void
	HardState   []byte       `cbor:"3,keyasint,omitempty"`
	Entries     [][]byte     `cbor:"4,keyasint,omitempty"`
	Snapshot    []byte       `cbor:"5,keyasint,omitempty"`
	Marks       []Mark       `cbor:"6,keyasint,omitempty"`
	Whole       bool         `cbor:"7,keyasint,omitempty"` // it holds all: the records before it are not needed
}

// snapshot is the agreed state, which all members have alike. Its field names are not on the disk, the keys are.
type snapshot struct {
	Leases       []lease.Lease `cbor:"1,keyasint"`
	Incarnations []Incarnation `cbor:"2,keyasint"`
	Retired      []Incarnation `cbor:"3,keyasint"`
	Removed      []members.ID  `cbor:"4,keyasint,omitempty"` // taken out by an operator's command
	Config       *config.State `cbor:"5,keyasint,omitempty"` // nil: no version has been agreed on
}

var errOrder = errors.New("records are not in order")

// empty tells whether there is nothing in the record that has to be durable.
func (rec *Record) empty() bool {
	return rec.HardState == nil && rec.Entries == nil && rec.Snapshot == nil && rec.Marks == nil
}

// fill takes over what the consensus wants to be durable, of which current is the hard state. A commit index alone is
// found out again after a restart, but not that of a change of the members: one that restarts has to know which members
// it may elect, or be elected by, before it hears from a leader.
func (rec *Record) fill(ready *raftReady, current *pb.HardState) {
	switch {
	case changesMembers(ready.CommittedEntries):
		rec.HardState, _ = proto.Marshal(current)
	case ready.HardState != nil && (ready.MustSync || ready.Snapshot != nil):
		rec.HardState, _ = proto.Marshal(ready.HardState)
	}
	rec.addEntries(ready.Entries)
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		rec.Snapshot, _ = proto.Marshal(ready.Snapshot)
	}
}

func changesMembers(committed []*pb.Entry) bool {
	return slices.ContainsFunc(committed, func(entry *pb.Entry) bool { return entry.GetType() == pb.EntryConfChange })
}

func (rec *Record) addEntries(entries []*pb.Entry) {
	for _, entry := range entries {
		data, _ := proto.Marshal(entry)
		rec.Entries = append(rec.Entries, data)
	}
}

// sortedMarks are the marks in one order whatever the map's is.
func sortedMarks(serials map[Incarnation]uint64) (marks []Mark) {
	for incarnation, serial := range serials {
		marks = append(marks, Mark{incarnation, serial})
	}
	slices.SortFunc(marks, func(x, y Mark) int { return cmp.Compare(x.Incarnation.Number(), y.Incarnation.Number()) })
	return marks
}

// reset begins with what the founders have alike.
func (r *Replica) reset() {
	r.storage, r.node = raft.NewMemoryStorage(), nil
	r.appliedIndex, r.snapshotIndex = 0, 0
	r.state = lease.State{}
	r.config = config.State{}
	r.incarnations, r.retired, r.removed = map[uint64]Incarnation{}, nil, nil
	r.voters = &pb.ConfState{}
	if r.incarnation.Disk != 0 {
		return // the leader sends a newcomer everything
	}
	for _, name := range r.facts.Founders {
		founder := Incarnation{Name: name}
		r.incarnations[founder.Number()] = founder
	}
	r.voters.Voters = slices.Sorted(maps.Keys(r.incarnations))
	data, _ := cbor.Marshal(r.snapshot())
	metadata := &pb.SnapshotMetadata{ConfState: r.voters, Index: new(uint64(1)), Term: new(uint64(1))}
	r.storage.ApplySnapshot(&pb.Snapshot{Data: data, Metadata: metadata})
	r.appliedIndex, r.snapshotIndex = 1, 1
}

// snapshot is the agreed state as this member knows it.
func (r *Replica) snapshot() snapshot {
	s := snapshot{Leases: r.state.List(), Retired: r.retired, Removed: r.removed}
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
	r.state.Restore(s.Leases)
	r.retired, r.removed = s.Retired, s.Removed
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
	r.appliedIndex, r.snapshotIndex, r.changedIndex = metadata.GetIndex(), metadata.GetIndex(), metadata.GetIndex()
	r.appliedTerm = metadata.GetTerm()
	return nil
}

// replay takes in the records of a folder, and the entries of which they say that they are committed.
func (r *Replica) replay(records []Record) error {
	for i, rec := range records {
		if i > 0 && rec.Serial != r.serial+1 || rec.Serial == 0 {
			return fmt.Errorf("%w: %d after %d", errOrder, rec.Serial, r.serial)
		}
		r.serial = rec.Serial
		if rec.Incarnation != nil {
			r.incarnation = *rec.Incarnation
			r.reset()
		}
		for _, mark := range rec.Marks {
			r.marks[mark.Incarnation] = max(r.marks[mark.Incarnation], mark.Serial)
		}
		if err := r.store(&rec); err != nil {
			return err
		}
	}
	return r.replayCommitted()
}

// replayCommitted applies the stored entries that are committed: they show which incarnations are in the quorum. The
// rest is agreed on again.
func (r *Replica) replayCommitted() error {
	hard, _, err := r.storage.InitialState()
	if err != nil || hard == nil {
		return err
	}
	if hard.GetCommit() < r.appliedIndex { // a commit index is not persisted by itself
		hard = &pb.HardState{Term: new(hard.GetTerm()), Vote: new(hard.GetVote()), Commit: new(r.appliedIndex)}
		if err := r.storage.SetHardState(hard); err != nil {
			return err
		}
	}
	first, _ := r.storage.FirstIndex()
	entries, err := r.storage.Entries(first, max(first, hard.GetCommit()+1), maxEntriesBytes)
	if err != nil && len(entries) > 0 {
		return err
	}
	for _, entry := range entries {
		r.apply(entry)
	}
	return nil
}

// store takes a record into the storage that the consensus reads.
func (r *Replica) store(rec *Record) error {
	if rec.Snapshot != nil {
		if err := r.storeSnapshot(rec.Snapshot); err != nil {
			return err
		}
	}
	var entries []*pb.Entry
	for _, data := range rec.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		entries = append(entries, entry)
	}
	if err := r.storage.Append(entries); err != nil {
		return err
	}
	if rec.HardState == nil {
		return nil
	}
	hard := &pb.HardState{}
	if err := proto.Unmarshal(rec.HardState, hard); err != nil {
		return fmt.Errorf("hard state: %w", err)
	}
	return r.storage.SetHardState(hard)
}

func (r *Replica) storeSnapshot(data []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := r.storage.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return r.restore(snap)
}

// Compact is a record that holds all, if the log has grown long; the records before it may go once it is durable. It is
// to be persisted as a batch is, with nothing else under way.
func (r *Replica) Compact() *Record {
	if !r.snapshotWanted || r.batchOut || r.node == nil || r.newIncarnation {
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
	return r.Whole(snap)
}

// Whole is a record that holds all that the records so far do.
func (r *Replica) Whole(snap *pb.Snapshot) *Record {
	incarnation := r.incarnation
	rec := &Record{Serial: r.serial + 1, Incarnation: &incarnation, Marks: sortedMarks(r.marks), Whole: true}
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

// Kept takes in that a record of Compact is durable.
func (r *Replica) Kept(rec *Record) { r.serial = rec.Serial }
