package quorum

import (
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
)

// ErrRecordOrder is returned by New if the serials of the records are not consecutive.
var ErrRecordOrder = errors.New("records are not in order")

// reset stops the raft library and replaces the replicated state by the initial one, which is the
// same on all founders.
func (r *Replica) reset() {
	r.node = nil
	r.storage = raft.NewMemoryStorage()
	r.appliedIndex = 0
	r.snapshotIndex = 0
	r.leases = lease.State{}
	r.config = config.State{}
	r.incarnations = map[uint64]Incarnation{}
	r.retired = nil
	r.removed = nil
	r.voters = &pb.ConfState{}
	if r.incarnation.Disk != 0 {
		return // a later incarnation gets the whole state from the leader
	}
	for _, name := range r.cfg.Founders {
		founder := Incarnation{Name: name}
		r.incarnations[founder.Number()] = founder
	}
	r.voters.Voters = slices.Sorted(maps.Keys(r.incarnations))
	data, _ := cbor.Marshal(r.snapshot())
	metadata := &pb.SnapshotMetadata{ConfState: r.voters, Index: new(uint64(1)), Term: new(uint64(1))}
	r.storage.ApplySnapshot(&pb.Snapshot{Data: data, Metadata: metadata})
	r.appliedIndex = 1
	r.snapshotIndex = 1
}

// replay loads the records of a folder into the storage, and applies the entries that are known to
// be committed.
func (r *Replica) replay(records []Record) error {
	for i, rec := range records {
		if i > 0 && rec.Serial != r.serial+1 || rec.Serial == 0 {
			return fmt.Errorf("%w: %d after %d", ErrRecordOrder, rec.Serial, r.serial)
		}
		r.serial = rec.Serial
		if rec.Incarnation != nil {
			r.incarnation = *rec.Incarnation
			r.reset()
		}
		for _, received := range rec.ReceivedSerials {
			highest := r.receivedSerials[received.Incarnation]
			r.receivedSerials[received.Incarnation] = max(highest, received.Serial)
		}
		if err := r.store(&rec); err != nil {
			return fmt.Errorf("record %d: %w", rec.Serial, err)
		}
	}
	return r.replayCommitted()
}

// replayCommitted applies the stored entries that are known to be committed, which determine the
// members of the quorum. Whether later entries are committed is learned again from a leader.
func (r *Replica) replayCommitted() error {
	hard, _, err := r.storage.InitialState()
	if err != nil || hard == nil {
		return err
	}
	if hard.GetCommit() < r.appliedIndex { // a change of the commit index alone is not stored
		hard = &pb.HardState{
			Term:   new(hard.GetTerm()),
			Vote:   new(hard.GetVote()),
			Commit: new(r.appliedIndex),
		}
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

// store adds a record to the storage that the raft library reads.
func (r *Replica) store(rec *Record) error {
	if rec.Snapshot != nil {
		if err := r.storeSnapshot(rec.Snapshot); err != nil {
			return err
		}
	}
	entries, err := decodeEntries(rec.Entries)
	if err != nil {
		return err
	}
	if err := r.storage.Append(entries); err != nil {
		return err
	}
	if rec.HardState == nil {
		return nil
	}
	hard := &pb.HardState{}
	if err := proto.Unmarshal(rec.HardState, hard); err != nil {
		return fmt.Errorf("decode hard state: %w", err)
	}
	return r.storage.SetHardState(hard)
}

// decodeEntries decodes the log entries of a record.
func decodeEntries(encoded [][]byte) (entries []*pb.Entry, err error) {
	for _, data := range encoded {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return nil, fmt.Errorf("decode log entry: %w", err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// storeSnapshot adds a snapshot to the storage and restores the replicated state from it.
func (r *Replica) storeSnapshot(data []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if err := r.storage.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return r.restore(snap)
}
