package quorum

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ReceivedSerial is the highest serial that was received from an incarnation.
type ReceivedSerial struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Serial      uint64      `cbor:"2,keyasint"`
}

// Record is the data that must be durable before the rest of its Ready takes effect. Records are
// stored in order; later ones override earlier ones. A record is encoded by the keys of its fields.
type Record struct {
	Serial uint64 `cbor:"1,keyasint"`
	// Incarnation is set if the record begins an incarnation, or repeats it in a full record. The raft
	// state of earlier records is then void.
	Incarnation *Incarnation `cbor:"2,keyasint,omitempty"`
	// HardState, Entries and Snapshot are the raft library's, in its protobuf encoding.
	HardState       []byte           `cbor:"3,keyasint,omitempty"`
	Entries         [][]byte         `cbor:"4,keyasint,omitempty"`
	Snapshot        []byte           `cbor:"5,keyasint,omitempty"`
	ReceivedSerials []ReceivedSerial `cbor:"6,keyasint,omitempty"`
	// Full is set if the record holds the complete state, so that earlier records are not needed.
	Full bool `cbor:"7,keyasint,omitempty"`
}

// empty reports whether nothing in the record has to be durable.
func (rec *Record) empty() bool {
	return rec.HardState == nil && rec.Entries == nil && rec.Snapshot == nil &&
		rec.ReceivedSerials == nil
}

// setRaftState sets what the raft library needs to be durable; current is the library's hard state.
// A commit index alone need not be durable, as a restarted member learns it again. The commit index
// of a change of the members must be durable: a member that restarts has to know which members it
// may elect, or be elected by, before it hears from a leader.
func (rec *Record) setRaftState(ready *raftReady, current *pb.HardState) {
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

// changesMembers reports whether one of the entries is a change of the members.
func changesMembers(committed []*pb.Entry) bool {
	isChange := func(entry *pb.Entry) bool { return entry.GetType() == pb.EntryConfChange }
	return slices.ContainsFunc(committed, isChange)
}

// addEntries appends log entries in their protobuf encoding.
func (rec *Record) addEntries(entries []*pb.Entry) {
	for _, entry := range entries {
		data, _ := proto.Marshal(entry)
		rec.Entries = append(rec.Entries, data)
	}
}

// sortedSerials returns the serials sorted by the incarnations' numbers, so that equal maps give
// equal records.
func sortedSerials(serials map[Incarnation]uint64) (sorted []ReceivedSerial) {
	for incarnation, serial := range serials {
		sorted = append(sorted, ReceivedSerial{Incarnation: incarnation, Serial: serial})
	}
	slices.SortFunc(sorted, func(x, y ReceivedSerial) int {
		return cmp.Compare(x.Incarnation.Number(), y.Incarnation.Number())
	})
	return sorted
}
