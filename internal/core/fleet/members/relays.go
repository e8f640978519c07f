package members

import "slices"

// relay is a ping sent on behalf of a requester, a member that could not reach the target itself.
type relay struct {
	pingSeq    uint32 // of the ping sent to the target
	requester  ID
	requestSeq uint32 // of the requester's PingRequest
	target     ID
	deadline   float64 // ms
}

// relays are the pings sent on behalf of others; both lists are sorted by deadline. An ack that
// comes after the nack was sent is still passed on: over a new connection to a distant member an
// ack takes several round trips.
type relays struct {
	waiting []relay // until a nack is due
	nacked  []relay // the nack was sent; a late ack is still passed on until the deadline
}

// len returns the number of relays in both lists.
func (r *relays) len() int { return len(r.waiting) + len(r.nacked) }

// takeAnswered removes and returns the relay whose ping an ack from a target answers.
func (r *relays) takeAnswered(pingSeq uint32, target ID) (answered relay, found bool) {
	for _, list := range []*[]relay{&r.waiting, &r.nacked} {
		i := slices.IndexFunc(*list, func(sent relay) bool {
			return sent.pingSeq == pingSeq && sent.target == target
		})
		if i >= 0 {
			answered = (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			return answered, true
		}
	}
	return relay{}, false
}

// takeOverdue returns the relays for which a nack is due. It keeps them for extension ms longer, in
// case of a late ack.
func (r *relays) takeOverdue(now, extension float64) (overdue []relay) {
	for len(r.nacked) > 0 && now >= r.nacked[0].deadline {
		r.nacked = r.nacked[1:]
	}
	for len(r.waiting) > 0 && now >= r.waiting[0].deadline {
		overdue = append(overdue, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	for _, late := range overdue {
		late.deadline += extension
		r.nacked = append(r.nacked, late)
	}
	return overdue
}

// relayPing pings a member on behalf of a requester.
func (t *Table) relayPing(requester ID, request Message) {
	target := t.entries[request.Target]
	if target == nil || target == t.self || t.relays.len() >= t.config.MaxMembers {
		return
	}
	seq := t.nextSeq()
	t.relays.waiting = append(t.relays.waiting, relay{
		pingSeq:    seq,
		requester:  requester,
		requestSeq: request.Seq,
		target:     request.Target,
		deadline:   t.now + t.config.ProbeTimeout,
	})
	t.send(target, Message{Kind: Ping, Seq: seq})
}

// sendNacks sends a nack to the requester of each ping that was not answered in time.
func (t *Table) sendNacks() {
	extension := t.config.ProbeInterval - t.config.ProbeTimeout
	for _, r := range t.relays.takeOverdue(t.now, extension) {
		if requester := t.entries[r.requester]; requester != nil {
			t.send(requester, Message{Kind: Nack, Seq: r.requestSeq, Target: r.target})
		}
	}
}
