package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/members"
)

// verification is the state of an unverified member until the others have vouched for its disk.
type verification struct {
	startedAt        float64             // ms
	vouched          map[members.ID]bool // the members that have vouched for this disk
	extraVouchers    map[members.ID]bool // members named by others that have to vouch too
	othersHaveLeader bool                // another member has reported a leader
	joinRequested    bool                // it also requests to join as another incarnation
}

// newVerification returns the state at the start of a process.
func newVerification(now float64) verification {
	return verification{
		startedAt:     now,
		vouched:       map[members.ID]bool{},
		extraVouchers: map[members.ID]bool{},
	}
}

// TrustDisk carries out an operator's command which asserts that this folder is the latest there
// is. It returns false if this member is not Unverified.
func (r *Replica) TrustDisk() bool {
	if r.role != Unverified {
		return false
	}
	r.participate()
	return true
}

// participate begins to take part in the quorum. It is called when this disk is known to hold all
// that this incarnation ever promised.
func (r *Replica) participate() {
	if r.incarnation.Disk != 0 && !r.isMember() {
		r.setRole(Joining, "its former incarnation has ended")
		r.startConsensus()
		return
	}
	r.setRole(Voter, "")
	r.startConsensus()
	r.updateRole()
}

// requestVouching requests from the others the highest serial that they received from this member.
// If they have a leader and not all have answered within vouchTimeout, it also requests to join as
// another incarnation: whichever succeeds first takes effect.
func (r *Replica) requestVouching() {
	if r.now < r.nextRequestAt {
		return
	}
	r.nextRequestAt = r.now + vouchInterval
	for _, name := range r.vouchers() {
		r.send(Incarnation{Name: name}, Message{VouchRequest: &VouchRequest{Run: r.run}})
	}
	timedOut := r.now > r.verification.startedAt+vouchTimeout
	r.verification.joinRequested = r.verification.othersHaveLeader && timedOut
	if !r.verification.joinRequested {
		return
	}
	r.roleReason = "not all others can vouch for its disk; " +
		"requesting to join as another incarnation"
	for _, name := range r.joinTargets() {
		r.outgoing = append(r.outgoing, Message{
			From: r.nextIncarnation(),
			To:   Incarnation{Name: name},
			Run:  r.run,
			Join: &Join{Run: r.run},
		})
	}
}

// handleVouchRequest answers a member that starts with the highest serial that was received from
// it. Serials that are not durable yet count, as the messages that wait for them will be used.
// Messages of the member's earlier runs that arrive from now on are ignored, or one could be used
// although the answer did not include its serial.
func (r *Replica) handleVouchRequest(m *Message) {
	if m.VouchRequest.Run != m.Run || r.newIncarnation {
		return
	}
	if len(r.requestingRuns) >= maxRemembered && r.requestingRuns[m.From] == 0 {
		return
	}
	r.requestingRuns[m.From] = m.Run
	response := &VouchResponse{
		Run: m.VouchRequest.Run,
		ReceivedSerial: max(r.receivedSerials[m.From], r.waitingSerials[m.From],
			r.inflightSerials[m.From]),
		Retired:        slices.Contains(r.retired, m.From),
		Members:        r.others(),
		Index:          r.appliedIndex,
		PendingMembers: r.pendingMembers(),
	}
	if r.node != nil && r.role == Voter {
		leader := r.Leader()
		response.HasLeader = leader != "" && leader != m.From.Name
	}
	r.send(m.From, Message{VouchResponse: response})
}

// pendingMembers returns the names of the members that are added by entries which this member has
// stored and does not know to be committed. Each committed change is stored by a majority of the
// members before it, so the answers of all of them together name every member that a change may
// have added.
func (r *Replica) pendingMembers() (names []members.ID) {
	first, _ := r.storage.FirstIndex()
	last, _ := r.storage.LastIndex()
	entries, err := r.storage.Entries(max(first, r.appliedIndex+1), max(first, last+1),
		maxEntriesBytes)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		added := addedMember(entry)
		if added != "" && !slices.Contains(names, added) && len(names) < maxRemembered {
			names = append(names, added)
		}
	}
	return names
}

// addedMember returns the member that an entry adds, or empty if it adds none.
func addedMember(entry *pb.Entry) members.ID {
	change := &pb.ConfChange{}
	if entry.GetType() != pb.EntryConfChange || proto.Unmarshal(entry.GetData(), change) != nil ||
		change.GetType() == pb.ConfChangeRemoveNode {
		return ""
	}
	var c memberChange
	if cbor.Unmarshal(change.GetContext(), &c) != nil {
		return ""
	}
	return c.Incarnation.Name
}

// vouchers returns the names of all that have to vouch for this disk: the members that this one
// knows, and those that they name. An older copy of a folder does not know members that were added
// later, which may have received the highest serials.
func (r *Replica) vouchers() []members.ID {
	names := r.others()
	for name := range r.verification.extraVouchers {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// addExtraVouchers adds members that have to vouch too.
func (r *Replica) addExtraVouchers(names []members.ID) {
	for _, name := range names {
		valid := name != "" && len(name) <= maxNameBytes && name != r.cfg.Self
		if valid && len(r.verification.extraVouchers) < maxRemembered {
			r.verification.extraVouchers[name] = true
		}
	}
}

// handleVouchResponse handles the answer of another member to a VouchRequest.
func (r *Replica) handleVouchResponse(from members.ID, response *VouchResponse) {
	if r.role != Unverified || response.Run != r.run {
		return
	}
	if response.Retired {
		r.endIncarnation(fmt.Sprintf("%s reports that this incarnation has ended", from))
		return
	}
	if response.ReceivedSerial > r.serial {
		r.endIncarnation(fmt.Sprintf("%s received record %d, the folder ends with %d: an older copy",
			from, response.ReceivedSerial, r.serial))
		return
	}
	r.verification.othersHaveLeader = r.verification.othersHaveLeader || response.HasLeader
	r.verification.vouched[from] = true
	r.addExtraVouchers(response.PendingMembers)
	if response.Index > r.appliedIndex { // an older list has no member that this disk does not know
		r.addExtraVouchers(response.Members)
	}
	for _, name := range r.vouchers() {
		if !r.verification.vouched[name] {
			return
		}
	}
	r.participate()
}
