package node

// A rename or a reordering of fields can change the encoding of messages between controllers.
// Controllers of one build understand each other in any encoding; a change breaks them only beside
// controllers of an earlier build, while a fleet is updated. These tests compare each kind of message
// with the encoding of an earlier build.

import (
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/lab/golden"
)

// The functions below return values for messages, with every field set.

func sentHolder() lease.Holder { return lease.Holder{ID: "n1", Run: 77} }

func sentGrant() lease.Grant { return lease.Grant{Name: "digest", Token: 9} }

func sentLease() lease.Lease {
	return lease.Lease{Name: "digest", Token: 9, Holder: sentHolder(), Revision: 1001, Preferred: "n3", Retired: true,
		Serial: 4, State: []byte{1, 2, 3}}
}

func sentMember() members.Member {
	return members.Member{ID: "n2", Addr: "10.0.0.2:9443", State: members.Suspect, Incarnation: 5,
		Willing: true, Run: 78,
		Suspector: "n3"}
}

func sentHash() config.Hash { return config.Hash{0xa1, 31: 0xa2} }

func sentProposalID() config.ProposalID { return config.ProposalID{Origin: "n2", Run: 0xbeef, Ref: 11} }

func sentVersion() config.Version {
	return config.Version{Number: 7, Hash: sentHash(), Size: 1234, Author: "ann", Reason: "more room",
		Time: 1_700_000_000_123, RollbackOf: 5, ID: sentProposalID()}
}

func sentControllerReport() config.ControllerReport {
	return config.ControllerReport{ID: "n4", Run: 31, Applied: 6, Reason: "no space left", Age: 250.5}
}

// checkMessage compares the encoding of a message that contains a part, all of whose fields must be
// set, with the golden table.
func checkMessage(t *testing.T, table *golden.Table, name string, part any, message Message) {
	t.Helper()
	golden.AllSet(t, part)
	golden.CBOR(t, table, name, message, frames.Decoder.Unmarshal)
}

func TestMembersMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "members.golden")
	ping := &members.Message{Kind: members.Ping, Seq: 41, Target: "n4", WantReply: true,
		Updates:   []members.Member{sentMember()},
		Checksums: members.Checksums{51, 52}, Buckets: 1<<63 | 3}
	checkMessage(t, table, "members", ping, Message{Members: ping})
	ack := &members.Message{Kind: members.Ack, Seq: 42}
	golden.CBOR(t, table, "members-ack", Message{Members: ack}, frames.Decoder.Unmarshal)
}

func TestQuorumMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "quorum.golden")
	from, to := quorum.Incarnation{Name: "n1", Disk: 101}, quorum.Incarnation{Name: "n2", Disk: 102}
	raft := &quorum.Message{From: from, To: to, Raft: []byte{1, 2, 3}, Serial: 21, Run: 77}
	golden.CBOR(t, table, "raft", Message{Quorum: raft}, frames.Decoder.Unmarshal)
	vouchRequest := &quorum.Message{From: from, To: to, VouchRequest: &quorum.VouchRequest{Run: 77}, Run: 77}
	checkMessage(t, table, "ask", vouchRequest.VouchRequest, Message{Quorum: vouchRequest})
	vouchResponse := &quorum.Message{From: from, To: to, Run: 77, VouchResponse: &quorum.VouchResponse{Run: 78,
		ReceivedSerial: 22, Retired: true, HasLeader: true, Members: []members.ID{"n1", "n2"}, Index: 40,
		PendingMembers: []members.ID{"n3"}}}
	checkMessage(t, table, "answer", vouchResponse.VouchResponse, Message{Quorum: vouchResponse})
	join := &quorum.Message{From: from, To: to, Join: &quorum.Join{Run: 77}, Run: 77}
	checkMessage(t, table, "join", join.Join, Message{Quorum: join})
	invite := &quorum.Message{From: from, To: to, Run: 77, Invite: true}
	golden.CBOR(t, table, "invite", Message{Quorum: invite}, frames.Decoder.Unmarshal)
	redirect := &quorum.Message{From: from, To: to, Run: 77, Redirect: &quorum.Redirect{Leader: "n3"}}
	checkMessage(t, table, "redirect", redirect.Redirect, Message{Quorum: redirect})
}

func TestLeaseMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "lease.golden")
	renew := &lease.Renew{Holder: sentHolder(), Grants: []lease.Grant{sentGrant()}, Sequence: 13}
	checkMessage(t, table, "renew", renew, Message{Renew: renew})
	response := &RenewResponse{Sequence: 13, Valid: []lease.Grant{sentGrant()},
		Invalid: []lease.Grant{{Name: "maintenance", Token: 2}},
		Yield:   []lease.Name{"digest"}, Leader: "n2", To: sentHolder()}
	checkMessage(t, table, "granted", response, Message{RenewResponse: response})
	offer := &Offer{To: sentHolder(), Grant: sentGrant()}
	checkMessage(t, table, "offer", offer, Message{Offer: offer})
	release := &lease.Release{Holder: sentHolder(), Grant: sentGrant(), Failed: true}
	checkMessage(t, table, "release", release, Message{Release: release})
	prefer := &lease.Prefer{Name: "digest", To: "n2"}
	checkMessage(t, table, "prefer", prefer, Message{Prefer: prefer})
	store := &lease.StoreState{Holder: sentHolder(), Grant: sentGrant(), Serial: 14, Data: []byte{5, 6}}
	checkMessage(t, table, "store-state", store, Message{StoreState: store})
	load := &lease.LoadState{Holder: sentHolder(), Grant: sentGrant()}
	checkMessage(t, table, "load-state", load, Message{LoadState: load})
	checkpoint := &Checkpoint{To: sentHolder(), Grant: sentGrant(), Serial: 15, Data: []byte{7, 8}}
	checkMessage(t, table, "checkpoint", checkpoint, Message{Checkpoint: checkpoint})
}

func TestNodeMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "node.golden")
	golden.CBOR(t, table, "view-request", Message{ViewRequest: &ViewRequest{}}, frames.Decoder.Unmarshal)
	view := &View{Leader: "n1", Voters: []members.ID{"n1", "n2"}, Leases: []lease.Lease{sentLease()}, Changed: 40}
	checkMessage(t, table, "view", view, Message{View: view})
	effect := &Effect{Grant: sentGrant(), ID: 61, Data: []byte{9}}
	checkMessage(t, table, "effect", effect, Message{Effect: effect})
	response := &EffectResponse{Lease: "digest", ID: 61, HighestToken: 10, Accepted: true}
	checkMessage(t, table, "verdict", response, Message{EffectResponse: response})
	replace := &Replace{Old: "n1", Successor: "n4"}
	checkMessage(t, table, "replace", replace, Message{Replace: replace})
	golden.CBOR(t, table, "job-message", Message{JobMessage: []byte{10, 11}}, frames.Decoder.Unmarshal)
	hint := &LeaderHint{ID: "n1", Term: 6, Changed: 40}
	checkMessage(t, table, "leader", hint, Message{Leader: hint})
}

func TestConfigMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "config.golden")
	check := func(name string, part any, message config.Message) {
		t.Helper()
		checkMessage(t, table, name, part, Message{Config: &message})
	}
	version := sentVersion()
	summary := &config.Summary{Number: 7, Hash: sentHash(), Size: 1234}
	check("summary", summary, config.Message{Summary: summary})
	fetch := &config.Fetch{Hash: sentHash(), Offset: 32768}
	check("fetch", fetch, config.Message{Fetch: fetch})
	chunk := &config.Chunk{Hash: sentHash(), Offset: 32768, Total: 65536, Data: []byte{1, 2}, Missing: true,
		Version: &version}
	check("chunk", chunk, config.Message{Chunk: chunk})
	propose := &config.ProposeRequest{Proposal: config.Proposal{Expect: 6, Version: version}}
	check("propose", propose, config.Message{Propose: propose})
	proposed := &config.ProposeReply{ID: sentProposalID(), Result: config.Rejected, Version: version, Reason: "not used"}
	check("proposed", proposed, config.Message{ProposeReply: proposed})
	hold := &config.HoldRequest{Hash: sentHash(), Size: 1234, Version: &version}
	check("hold", hold, config.Message{Hold: hold})
	held := &config.HoldReply{Hash: sentHash()}
	check("held", held, config.Message{HoldReply: held})
	reports := &config.Reports{Sequence: 71, List: []config.Report{{ID: "n4", Run: 31, Sequence: 72,
		Applied: 6, Rejected: 7,
		Reason: "no space left", Age: 250.5}}}
	check("reports", reports, config.Message{Reports: reports})
	reported := &config.ReportsReply{Sequence: 71, Leader: "n1"}
	check("reported", reported, config.Message{ReportsReply: reported})
	query := &config.Query{Ref: 81, Kind: config.QueryHistory}
	check("query", query, config.Message{Query: query})
	answer := &config.Answer{Ref: 81, Voting: true, Leads: true, Leader: "n1", Latest: *summary,
		Status: &config.Status{Latest: version, Members: 9, InForce: 8,
			ByVersion:   map[uint64]int{7: 8}, // one entry: the encoding of a map has no order
			Rejected:    []config.ControllerReport{sentControllerReport()},
			Behind:      []config.ControllerReport{sentControllerReport()},
			Unreachable: []config.ControllerReport{sentControllerReport()}, Omitted: 2, CollectedFor: 60_000.5},
		Versions: []config.Version{version}}
	check("answer", answer, config.Message{Answer: answer})
}

// TestPiggybackedMessageEncodingIsStable checks a membership message with the parts that accompany
// it.
func TestPiggybackedMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "piggybacked.golden")
	message := Message{Members: &members.Message{Kind: members.Ping, Seq: 41},
		Config: &config.Message{Summary: &config.Summary{Number: 7, Hash: sentHash(), Size: 1234}},
		Leader: &LeaderHint{ID: "n1", Term: 6, Changed: 40}}
	golden.CBOR(t, table, "piggybacked", message, frames.Decoder.Unmarshal)
}

// TestKindNumbersAreStable pins the numbers that encode kinds, states and results in messages.
func TestKindNumbersAreStable(t *testing.T) {
	for _, c := range []struct {
		name        string
		number, was int
	}{
		{"ping", int(members.Ping), 1}, {"ping for", int(members.PingRequest), 2}, {"ack", int(members.Ack), 3},
		{"nack", int(members.Nack), 4}, {"sync", int(members.Sync), 5},
		{"alive", int(members.Alive), 0}, {"suspect", int(members.Suspect), 1}, {"gone", int(members.Dead), 2},
		{"left", int(members.Left), 3},
		{"unknown", int(config.Unknown), 0}, {"agreed", int(config.Committed), 1}, {"lost", int(config.Conflict), 2},
		{"refused", int(config.Rejected), 3},
		{"ask latest", int(config.QueryLatest), 1}, {"ask status", int(config.QueryStatus), 2},
		{"ask history", int(config.QueryHistory), 3},
	} {
		if c.number != c.was {
			t.Errorf("%s is encoded as %d, want %d as in earlier builds", c.name, c.number, c.was)
		}
	}
}
