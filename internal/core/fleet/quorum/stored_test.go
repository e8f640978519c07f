package quorum

// A rename or a reordering of fields can change the encoding of what a quorum member stores. The
// fault would appear only when a controller starts with a folder that an earlier build wrote. These
// tests compare records and replicated state with the encoding of an earlier build.

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/lab/golden"
)

// protoBytes encodes a message of the raft library, with its fields in a fixed order.
func protoBytes(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func storedVersion() config.Version {
	return config.Version{Number: 7, Hash: config.Hash{0xa1, 31: 0xa2}, Size: 1234, Author: "ann", Reason: "more room",
		Time: 1_700_000_000_123, RollbackOf: 5, ID: config.ProposalID{Origin: "n2", Run: 0xbeef, Ref: 11}}
}

func storedLeases() []lease.Lease {
	return []lease.Lease{
		{Name: "digest", Token: 9, Holder: lease.Holder{ID: "n1", Run: 77}, Revision: 1001, Preferred: "n3", Retired: true,
			Serial: 4, State: []byte{1, 2, 3}},
		{Name: "maintenance", Token: 2, Holder: lease.Holder{ID: "n2", Run: 78}, Revision: 1002, Preferred: "n1",
			Retired: true, Serial: 5, State: []byte{4}},
	}
}

func storedSnapshot() snapshot {
	return snapshot{
		Leases:       storedLeases(),
		Incarnations: []Incarnation{{Name: "n1", Disk: 101}, {Name: "n2", Disk: 102}, {Name: "n3", Disk: 103}},
		Retired:      []Incarnation{{Name: "n4", Disk: 104}},
		Removed:      []members.ID{"n5"},
		Config:       &config.State{Versions: []config.Version{storedVersion()}},
	}
}

// storedCommands returns each lease command of the quorum's log, with every field set.
func storedCommands() map[string]lease.Command {
	holder := lease.Holder{ID: "n1", Run: 77}
	grant := lease.Grant{Name: "digest", Token: 9}
	return map[string]lease.Command{
		"declare": {Declare: &lease.Declare{Names: []lease.Name{"digest", "maintenance"}}},
		"assign":  {Assign: &lease.Assign{Name: "digest", Revision: 12, To: holder}},
		"renew":   {Renew: &lease.Renew{Holder: holder, Grants: []lease.Grant{grant}, Sequence: 13}},
		"release": {Release: &lease.Release{Holder: holder, Grant: grant, Failed: true}},
		"prefer":  {Prefer: &lease.Prefer{Name: "digest", To: "n2"}},
		"store":   {StoreState: &lease.StoreState{Holder: holder, Grant: grant, Serial: 14, Data: []byte{5, 6}}},
		"load":    {LoadState: &lease.LoadState{Holder: holder, Grant: grant}},
	}
}

// storedRecord returns a full record: a snapshot of the replicated state, an entry after it,
// received serials and a hard state.
func storedRecord(t *testing.T) Record {
	t.Helper()
	state, err := cbor.Marshal(storedSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	entry, err := encodeProposal(proposal{Proposer: "n1", Ref: 15, Command: storedCommands()["prefer"]})
	if err != nil {
		t.Fatal(err)
	}
	var voters []uint64
	for _, incarnation := range storedSnapshot().Incarnations {
		voters = append(voters, incarnation.Number())
	}
	slices.Sort(voters)
	return Record{
		Serial:      21,
		Incarnation: &Incarnation{Name: "n1", Disk: 101},
		HardState:   protoBytes(t, &pb.HardState{Term: new(uint64(6)), Vote: new(voters[0]), Commit: new(uint64(41))}),
		Entries: [][]byte{protoBytes(t, &pb.Entry{Type: pb.EntryNormal.Enum(), Term: new(uint64(6)), Index: new(uint64(41)),
			Data: entry})},
		Snapshot: protoBytes(t, &pb.Snapshot{Data: state, Metadata: &pb.SnapshotMetadata{
			ConfState: &pb.ConfState{Voters: voters, AutoLeave: new(false)}, Index: new(uint64(40)), Term: new(uint64(5))}}),
		ReceivedSerials: []ReceivedSerial{{Incarnation: Incarnation{Name: "n2", Disk: 102}, Serial: 33}},
		Full:            true,
	}
}

func TestStoredRecordEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "records.golden")
	record := storedRecord(t)
	golden.AllSet(t, record)
	golden.CBOR(t, table, "record", record, cbor.Unmarshal)
	state := storedSnapshot()
	golden.AllSet(t, state)
	golden.CBOR(t, table, "agreed-state", state, cbor.Unmarshal)
	change := memberChange{Incarnation: Incarnation{Name: "n4", Disk: 104}, Removed: true}
	golden.AllSet(t, change)
	golden.CBOR(t, table, "member-change", change, cbor.Unmarshal)
}

func TestStoredLogCommandEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "commands.golden")
	commands := storedCommands()
	for _, name := range []string{"declare", "assign", "renew", "release", "prefer", "store", "load"} {
		golden.CBOR(t, table, name, proposal{Proposer: "n1", Ref: 15, Command: commands[name]}, cbor.Unmarshal)
	}
	for _, command := range []any{commands["declare"].Declare, commands["assign"].Assign, commands["renew"].Renew,
		commands["release"].Release, commands["prefer"].Prefer, commands["store"].StoreState, commands["load"].LoadState} {
		golden.AllSet(t, command)
	}
	proposed := &config.Proposal{Expect: 6, Version: storedVersion()}
	golden.AllSet(t, proposed)
	golden.CBOR(t, table, "config", proposal{Proposer: "n1", Ref: 16, Config: proposed}, cbor.Unmarshal)
}

// TestStoredRecordIsReadable starts a replica with a record that an earlier build wrote. The replica
// must have the stored state, and its full record must equal the stored one.
func TestStoredRecordIsReadable(t *testing.T) {
	stored := golden.Open(t, "replay.golden").Bytes(t, "record", mustEncode(t, storedRecord(t)))
	var record Record
	if err := cbor.Unmarshal(stored, &record); err != nil {
		t.Fatal(err)
	}
	replica, err := New(Config{Self: "n1", Founders: []members.ID{"n1", "n2", "n3"}, Run: 1, NextDisk: 2, Seed: 3},
		[]Record{record}, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := storedSnapshot()
	if got := replica.leases.List(); !reflect.DeepEqual(got, want.Leases) {
		t.Errorf("leases: %+v, want those of the stored record", got)
	}
	if got := replica.snapshot(); !reflect.DeepEqual(got.Retired, want.Retired) ||
		!reflect.DeepEqual(got.Removed, want.Removed) || !reflect.DeepEqual(got.Config, want.Config) ||
		len(got.Incarnations) != len(want.Incarnations) {
		t.Errorf("replicated state: %+v, want that of the stored record", got)
	}
	if replica.incarnation != *record.Incarnation || replica.serial != record.Serial ||
		replica.receivedSerials[record.ReceivedSerials[0].Incarnation] != record.ReceivedSerials[0].Serial || replica.appliedIndex != 41 {
		t.Errorf("incarnation %+v, serial %d, received serials %v, applied index %d, want those of the stored record and index 41", replica.incarnation, replica.serial, replica.receivedSerials, replica.appliedIndex)
	}
	snap, err := replica.storage.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	full := replica.fullRecord(snap)
	full.Serial = record.Serial // a new record has the next serial
	if rewritten := mustEncode(t, *full); !bytes.Equal(rewritten, stored) {
		t.Errorf("full record of the replica:\n%x\nwant the stored one:\n%x", rewritten, stored)
	}
}

func TestRoleNamesAreStable(t *testing.T) {
	names := map[Role]string{NonMember: "outside", Unverified: "doubted", Joining: "joining", Learner: "learning",
		Voter: "voting"}
	for role, name := range names {
		if role.String() != name {
			t.Errorf("the name of a role is %q, want %q as in earlier builds", role, name)
		}
	}
}

func mustEncode(t *testing.T, record Record) []byte {
	t.Helper()
	data, err := cbor.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
