package members

import (
	"encoding/binary"
	"hash/fnv"
)

// syncBuckets is in how many buckets the members are divided by their ids. Two controllers compare a sum of each bucket, and
// exchange only the members of those that differ.
const syncBuckets = 64

// bucket is the one that an entry is in.
func (e *entry) bucket() int { return int(e.position % syncBuckets) }

// checksum is of what two controllers must agree on of a member.
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

// Sums are checksums of a controller's view, one of each bucket; empty: none are sent.
type Sums []uint32

// sums are of the members that are taken to be there. Those that are gone don't count: they are forgotten at different
// times.
func (t *Table) sums() Sums {
	sums := make(Sums, syncBuckets)
	for _, e := range t.index.all {
		if e.State <= Suspect && e.Run != 0 {
			sums[e.bucket()] ^= e.checksum()
		}
	}
	return sums
}

// compare asks a member for what its view has other than this one's, by the sums of both. It says who asks, as the member
// may not know a newcomer and could not answer.
func (t *Table) compare(e *entry) {
	m := Message{Kind: Sync, Want: true, Sums: t.sums(), News: []Member{t.self.Member}}
	t.outs = append(t.outs, Out{e.ID, e.Addr, m})
}

// answerSync takes in that another one's view is compared with this one's, or that it sent what differed.
func (t *Table) answerSync(e *entry, m Message) {
	switch {
	case len(m.Sums) == syncBuckets:
		t.sendDifferences(e, m.Sums)
	case m.Want && m.Buckets != 0:
		t.sendNewer(e, m)
	case m.Want: // all that a controller of an earlier version believes: it wants the same
		t.sendAll(e)
	}
}

// sendDifferences sends all of the buckets whose sums differ, in parts of whole buckets as far as they fit, and asks in each
// part for what this one lacks of these buckets.
func (t *Table) sendDifferences(e *entry, theirs Sums) {
	var members [syncBuckets][]Member
	for _, x := range t.index.all {
		if x.Run != 0 {
			members[x.bucket()] = append(members[x.bucket()], x.Member)
		}
	}
	part := Message{Kind: Sync, Want: true}
	for bucket, sum := range t.sums() {
		if sum == theirs[bucket] {
			continue
		}
		if len(part.News) > 0 && len(part.News)+len(members[bucket]) > t.pace.Part {
			t.sendPart(e, part)
			part = Message{Kind: Sync, Want: true}
		}
		part.Buckets |= 1 << bucket
		part.News = append(part.News, members[bucket]...)
	}
	if part.Buckets != 0 {
		t.sendPart(e, part)
	}
}

// sendPart sends a part, without what is over the bound: the next comparison finds what is left.
func (t *Table) sendPart(e *entry, part Message) {
	if len(part.News) > t.pace.Part {
		part.News = part.News[:t.pace.Part]
	}
	t.outs = append(t.outs, Out{e.ID, e.Addr, part})
}

// sendNewer answers a part with what this one knows of its buckets and the part has not, or has older.
func (t *Table) sendNewer(e *entry, part Message) {
	theirs := make(map[ID]Member, len(part.News))
	for _, m := range part.News {
		theirs[m.ID] = m
	}
	answer := Message{Kind: Sync}
	for _, x := range t.index.all {
		if x.Run == 0 || part.Buckets&(1<<x.bucket()) == 0 {
			continue
		}
		if m, known := theirs[x.ID]; !known && x.State <= Suspect || known && x.overrides(m) {
			answer.News = append(answer.News, x.Member)
		}
	}
	if len(answer.News) > 0 {
		t.sendPart(e, answer)
	}
}

// sendAll sends all that is believed, in parts.
func (t *Table) sendAll(e *entry) {
	part := Message{Kind: Sync}
	for _, x := range t.index.all {
		if x.Run == 0 {
			continue
		}
		if len(part.News) == t.pace.Part {
			t.outs = append(t.outs, Out{e.ID, e.Addr, part})
			part = Message{Kind: Sync}
		}
		part.News = append(part.News, x.Member)
	}
	t.outs = append(t.outs, Out{e.ID, e.Addr, part})
}
