package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/members"
)

// Trust carries out an operator's command that says that the folder is the latest there is. It is false where the disk is
// not doubted.
func (r *Replica) Trust() bool {
	if r.role != Doubted {
		return false
	}
	r.takePart()
	return true
}

// takePart begins to take part: this disk holds all that this incarnation ever promised.
func (r *Replica) takePart() {
	if r.incarnation.Disk != 0 && !r.isMember() {
		r.role, r.roleReason = Joining, "its former incarnation has ended"
		r.startConsensus()
		return
	}
	r.role, r.roleReason = Voting, ""
	r.startConsensus()
	r.updateRole()
}

// askOthers has a doubted member ask the others for the highest serial that they received from it, and ask to join as
// another incarnation if they have a leader and don't all answer; whichever comes first counts.
func (r *Replica) askOthers() {
	if r.now < r.askAt {
		return
	}
	r.askAt = r.now + askInterval
	for _, name := range r.vouchers() {
		r.send(Incarnation{Name: name}, Message{Ask: &Ask{r.run}})
	}
	r.askedToJoin = r.othersHaveLeader && r.now > r.startedAt+giveUpAsking
	if !r.askedToJoin {
		return
	}
	r.roleReason = "not all others can vouch for its disk; asking to be taken in as another incarnation"
	for _, name := range r.joinTargets() {
		r.out = append(r.out, Message{From: r.nextIncarnation(), To: Incarnation{Name: name}, Run: r.run, Join: &Join{r.run}})
	}
}

// askToJoin has a member whose former incarnation has ended ask to be taken in.
func (r *Replica) askToJoin() {
	if r.now < r.askAt || r.newIncarnation {
		return
	}
	r.askAt = r.now + joinInterval
	for _, name := range r.joinTargets() {
		r.send(Incarnation{Name: name}, Message{Join: &Join{r.run}})
	}
}

// joinTargets are the members that are asked to take this one in: those it knows, the one that wrote to it, and the leader
// that one of them named.
func (r *Replica) joinTargets() []members.ID {
	targets := r.others()
	for _, name := range []members.ID{r.contact.Name, r.leaderHint} {
		if name != "" && name != r.facts.Self && !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return targets
}

// receiveRedirect takes in which member leads.
func (r *Replica) receiveRedirect(redirect *Redirect) {
	if len(redirect.Leader) <= maxName {
		r.leaderHint = redirect.Leader
	}
}

// answerAsk answers a member that starts with the highest serial that was received from it: that of messages which wait
// for the disk here too, as they will be used. Messages of its earlier runs that are still on their way are ignored from
// now on, or one could be used after its serial was denied.
func (r *Replica) answerAsk(m *Message) {
	if m.Ask.Run != m.Run || r.newIncarnation {
		return
	}
	if len(r.askers) >= maxRetired && r.askers[m.From] == 0 {
		return
	}
	r.askers[m.From] = m.Run
	answer := &Answer{
		Run:     m.Ask.Run,
		Mark:    max(r.marks[m.From], r.waitingMarks[m.From], r.inflightMarks[m.From]),
		Retired: slices.Contains(r.retired, m.From),
		Members: r.others(),
		Index:   r.appliedIndex,
		Pending: r.pendingMembers(),
	}
	if r.node != nil && r.role == Voting {
		leader := r.Leader()
		answer.Led = leader != "" && leader != m.From.Name
	}
	r.send(m.From, Message{Answer: answer})
}

// pendingMembers are the names of those that are added by entries which this one has stored and does not know to be agreed
// on: of the members of before, a majority has stored each change that was agreed on.
func (r *Replica) pendingMembers() (names []members.ID) {
	first, _ := r.storage.FirstIndex()
	last, _ := r.storage.LastIndex()
	entries, err := r.storage.Entries(max(first, r.appliedIndex+1), max(first, last+1), maxEntriesBytes)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		if added := addedMember(entry); added != "" && !slices.Contains(names, added) && len(names) < maxRetired {
			names = append(names, added)
		}
	}
	return names
}

// addedMember is the member that an entry adds; empty: none.
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

// vouchers are the names of all that have to vouch for this disk: the members that it knows of, and those that they know
// of. An older copy of a folder does not know the members that came later, which may have received the most from it.
func (r *Replica) vouchers() []members.ID {
	names := r.others()
	for name := range r.toldMembers {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (r *Replica) addVouchers(names []members.ID) {
	for _, name := range names {
		if name != "" && len(name) <= maxName && name != r.facts.Self && len(r.toldMembers) < maxRetired {
			r.toldMembers[name] = true
		}
	}
}

// receiveAnswer takes in what another member knows of this incarnation.
func (r *Replica) receiveAnswer(from members.ID, answer *Answer) {
	if r.role != Doubted || answer.Run != r.run {
		return
	}
	if answer.Retired {
		r.endIncarnation(fmt.Sprintf("%s says that this incarnation has ended", from))
		return
	}
	if answer.Mark > r.serial {
		r.endIncarnation(fmt.Sprintf("%s received record %d, the folder ends with %d: an older copy", from, answer.Mark, r.serial))
		return
	}
	r.othersHaveLeader = r.othersHaveLeader || answer.Led
	r.vouched[from] = true
	r.addVouchers(answer.Pending)
	if answer.Index > r.appliedIndex { // what is older than this folder tells nothing that it does not hold
		r.addVouchers(answer.Members)
	}
	for _, name := range r.vouchers() {
		if !r.vouched[name] {
			return
		}
	}
	r.takePart()
}

// receiveInvite has a controller outside ask to join.
func (r *Replica) receiveInvite(m *Message) {
	if r.role != Outside || r.newIncarnation {
		return
	}
	r.contact = m.From
	r.endIncarnation("asked to join the quorum")
}

// nextIncarnation is the one as which this controller would come back.
func (r *Replica) nextIncarnation() Incarnation {
	return Incarnation{Name: r.facts.Self, Disk: r.facts.Disk}
}

// endIncarnation ends this incarnation: nothing that its disk holds counts as promised by it, and it comes back as
// another.
func (r *Replica) endIncarnation(reason string) {
	r.role, r.roleReason = Joining, reason
	r.node, r.leading = nil, false
	r.newIncarnation = true
	r.waiting, r.waitingMarks = nil, map[Incarnation]uint64{}
	r.askAt, r.askedToJoin = r.now, false
	if r.incarnation == r.nextIncarnation() { // the second of one process
		r.facts.Disk = max(1, r.rng.Uint64())
	}
}

// beginIncarnation is the batch that begins the folder anew, ahead of any message of the new incarnation.
func (r *Replica) beginIncarnation() *Batch {
	incarnation := r.nextIncarnation()
	record := &Record{Serial: r.serial + 1, Incarnation: &incarnation, Marks: sortedMarks(r.marks), Whole: true}
	return &Batch{Record: record, newIncarnation: true}
}
