package members

import (
	"encoding/binary"
	"hash/fnv"
)

// syncBuckets is the number of buckets into which the members are divided by the hash of their IDs.
// Two controllers compare a checksum of each bucket and exchange the members of only those buckets
// that differ.
const syncBuckets = 64

// bucket returns the bucket that an entry is in.
func (e *entry) bucket() int { return int(e.ringHash % syncBuckets) }

// checksum returns a checksum of the fields of a member on which two controllers must agree.
func (e *entry) checksum() uint32 {
	var numbers [18]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(numbers[8:], e.Run)
	numbers[16] = byte(e.State)
	if e.Willing {
		numbers[17] = 1
	}
	h := fnv.New64a()
	h.Write(numbers[:]) // never fails
	h.Write([]byte(e.ID))
	h.Write([]byte{0})
	h.Write([]byte(e.Addr))
	return uint32(h.Sum64() >> 16)
}

// Checksums are the checksums of a controller's view, one for each bucket. If it is empty, the
// message carries none.
type Checksums []uint32

// checksums returns the checksums of the active members. Dead and left members are excluded, as
// controllers reclaim them at different times.
func (t *Table) checksums() Checksums {
	sums := make(Checksums, syncBuckets)
	for _, e := range t.index.all {
		if e.State.active() && e.Run != 0 {
			sums[e.bucket()] ^= e.checksum()
		}
	}
	return sums
}

// syncWithRandomMember starts an anti-entropy exchange with a random active member. While there is
// none, it tries any known one, such as a seed, once in a probe interval.
func (t *Table) syncWithRandomMember() {
	t.syncAt = t.now + t.withJitter(t.config.SyncInterval)
	if picked := t.pick(1, t.index.active, nil); len(picked) > 0 {
		t.startSync(picked[0])
		return
	}
	if picked := t.pick(1, t.index.all, t.self); len(picked) > 0 {
		t.syncAt = t.now + t.config.ProbeInterval
		t.startSync(picked[0])
	}
}

// startSync sends a member the checksums of this view, and requests what differs. The message
// carries this controller's own member, as a receiver that does not know its address could not
// answer.
func (t *Table) startSync(e *entry) {
	t.enqueue(e, Message{
		Kind:      Sync,
		WantReply: true,
		Checksums: t.checksums(),
		Updates:   []Member{t.self.Member},
	})
}

// receiveSync answers checksums with the buckets that differ, and the members of buckets with those
// of which this controller knows a newer state.
func (t *Table) receiveSync(sender *entry, m Message) {
	switch {
	case len(m.Checksums) == syncBuckets:
		t.sendDifferences(sender, m.Checksums)
	case m.WantReply && m.Buckets != 0:
		t.sendNewer(sender, m)
	case m.WantReply: // a controller of an earlier version sent its whole view, and requests this one
		t.sendAll(sender)
	}
}

// sendDifferences sends all members of the buckets with different checksums, in parts of as many
// whole buckets as fit. Each part requests what this controller lacks in its buckets.
func (t *Table) sendDifferences(to *entry, remote Checksums) {
	buckets := t.membersByBucket()
	part := Message{Kind: Sync, WantReply: true}
	for bucket, sum := range t.checksums() {
		if sum == remote[bucket] {
			continue
		}
		if len(part.Updates) > 0 && len(part.Updates)+len(buckets[bucket]) > t.config.MaxSyncMembers {
			t.sendPart(to, part)
			part = Message{Kind: Sync, WantReply: true}
		}
		part.Buckets |= 1 << bucket
		part.Updates = append(part.Updates, buckets[bucket]...)
	}
	if part.Buckets != 0 {
		t.sendPart(to, part)
	}
}

// membersByBucket returns all members with a known run, by bucket.
func (t *Table) membersByBucket() (buckets [syncBuckets][]Member) {
	for _, e := range t.index.all {
		if e.Run != 0 {
			buckets[e.bucket()] = append(buckets[e.bucket()], e.Member)
		}
	}
	return buckets
}

// sendPart sends a part, truncated to MaxSyncMembers: a later exchange finds the other members.
func (t *Table) sendPart(to *entry, part Message) {
	if len(part.Updates) > t.config.MaxSyncMembers {
		part.Updates = part.Updates[:t.config.MaxSyncMembers]
	}
	t.enqueue(to, part)
}

// sendNewer answers a part with those members of its buckets that the part lacks, or has in a state
// that this controller's view overrides.
func (t *Table) sendNewer(to *entry, part Message) {
	remote := make(map[ID]Member, len(part.Updates))
	for _, m := range part.Updates {
		remote[m.ID] = m
	}
	answer := Message{Kind: Sync}
	for _, e := range t.index.all {
		if e.Run == 0 || part.Buckets&(1<<e.bucket()) == 0 {
			continue
		}
		m, known := remote[e.ID]
		missing := !known && e.State.active()
		newer := known && e.overrides(m)
		if missing || newer {
			answer.Updates = append(answer.Updates, e.Member)
		}
	}
	if len(answer.Updates) > 0 {
		t.sendPart(to, answer)
	}
}

// sendAll sends all members with a known run, in parts.
func (t *Table) sendAll(to *entry) {
	part := Message{Kind: Sync}
	for _, e := range t.index.all {
		if e.Run == 0 {
			continue
		}
		if len(part.Updates) == t.config.MaxSyncMembers {
			t.enqueue(to, part)
			part = Message{Kind: Sync}
		}
		part.Updates = append(part.Updates, e.Member)
	}
	t.enqueue(to, part)
}
