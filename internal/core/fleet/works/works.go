// Package works decides who of a fleet does what has exactly one owner at a time. It is free of I/O and clocks, in three
// parts that share types: State is what the council agrees on, the same on each of its members; Steward is what its
// leader concludes from time that passes; Hand is what an owner may still do. Gate, beside them, is what receivers of a
// work's effects refuse. It stands beside the loop.
//
// One work, one owner, one epoch that only rises. Clocks tell an owner when to stop and the leader when to give a work to
// another; they never tell who is right: that is the epoch, which whoever keeps an effect checks.
package works

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Work is the name of a work.
type Work string

// Epoch counts the owners that a work has had, over all generations of the fleet.
type Epoch uint64

// Holder is one life of a controller: after a restart it is another.
type Holder struct {
	ID  members.ID `cbor:"1,keyasint"`
	Run uint64     `cbor:"2,keyasint"`
}

// Grant is what is agreed of one work.
type Grant struct {
	Work    Work       `cbor:"1,keyasint"`
	Epoch   Epoch      `cbor:"2,keyasint"`
	Holder  Holder     `cbor:"3,keyasint"` // empty: nobody
	Renewal uint64     `cbor:"4,keyasint"` // rises with each change and each renewal
	Wanted  members.ID `cbor:"5,keyasint"` // by an operator's word, where it is to go next
	Dropped bool       `cbor:"6,keyasint"` // no longer wanted; kept for its epoch
	Serial  uint64     `cbor:"7,keyasint,omitempty"`
	Data    []byte     `cbor:"8,keyasint,omitempty"` // what its owners hand on
}

// Held tells whether somebody has it.
func (g Grant) Held() bool { return g.Holder.ID != "" }

// Bounds: on what is agreed, whatever is proposed.
const (
	mostWorks = 256
	mostName  = 64
	MostData  = 128 << 10 // of what the owners of one work hand on
)

// Command is one entry of the council's log; one of its fields is set.
type Command struct {
	Name    *Name    `cbor:"1,keyasint,omitempty"`
	Give    *Give    `cbor:"2,keyasint,omitempty"`
	Renew   *Renew   `cbor:"3,keyasint,omitempty"`
	Release *Release `cbor:"4,keyasint,omitempty"`
	Want    *Want    `cbor:"5,keyasint,omitempty"`
	Put     *Put     `cbor:"6,keyasint,omitempty"`
	Get     *Get     `cbor:"7,keyasint,omitempty"`
}

// Put keeps what a work's owner has to hand on to the next one: its whole state, small. It holds if the owner still is one,
// and knows the state before.
type Put struct {
	Holder Holder `cbor:"1,keyasint"`
	Claim  Claim  `cbor:"2,keyasint"`
	Serial uint64 `cbor:"3,keyasint"` // one more than that of the state before
	Data   []byte `cbor:"4,keyasint"`
}

// Get asks for it, as of its own place among all that is agreed on: an owner that begins reads what every earlier one wrote.
type Get struct {
	Holder Holder `cbor:"1,keyasint"`
	Claim  Claim  `cbor:"2,keyasint"`
}

// Name says which works there are to be.
type Name struct {
	Works []Work `cbor:"1,keyasint"`
}

// Give hands a work to another, if nothing has changed since the leader looked.
type Give struct {
	Work    Work   `cbor:"1,keyasint"`
	Renewal uint64 `cbor:"2,keyasint"` // as it was
	To      Holder `cbor:"3,keyasint"`
}

// Claim is a work with the epoch in which it is claimed.
type Claim struct {
	Work  Work  `cbor:"1,keyasint"`
	Epoch Epoch `cbor:"2,keyasint"`
}

// Renew is an owner's sign of life, for all its works.
type Renew struct {
	Holder Holder  `cbor:"1,keyasint"`
	Claims []Claim `cbor:"2,keyasint"`
	Token  uint64  `cbor:"3,keyasint"`
}

// Release is an owner's word that it has stopped, for good.
type Release struct {
	Holder Holder `cbor:"1,keyasint"`
	Claim  Claim  `cbor:"2,keyasint"`
	Failed bool   `cbor:"3,keyasint,omitempty"` // as it could not do the work
}

// Want is an operator's word where a work is to go.
type Want struct {
	Work Work       `cbor:"1,keyasint"`
	To   members.ID `cbor:"2,keyasint"`
}

// State is what is agreed. The zero value has no works.
type State struct {
	Grants map[Work]*Grant
}

// Copy is one that shares nothing.
func (s *State) Copy() *State {
	c := &State{Grants: make(map[Work]*Grant, len(s.Grants))}
	for w, g := range s.Grants {
		own := *g
		c.Grants[w] = &own
	}
	return c
}

// List is all grants in the order of their names.
func (s *State) List() []Grant {
	list := make([]Grant, 0, len(s.Grants))
	for _, w := range slices.Sorted(maps.Keys(s.Grants)) {
		list = append(list, *s.Grants[w])
	}
	return list
}

// Restore takes over a list, as of a snapshot.
func (s *State) Restore(list []Grant) {
	s.Grants = make(map[Work]*Grant, len(list))
	for _, g := range list {
		s.Grants[g.Work] = &g
	}
}

// Apply takes in an agreed command, and tells which grants it changed or renewed. The same commands in the same order
// lead to the same state; one that no longer fits changes nothing.
func (s *State) Apply(c Command) (changed []Work) {
	switch {
	case c.Name != nil:
		return s.name(c.Name.Works)
	case c.Give != nil:
		g := s.Grants[c.Give.Work]
		if g == nil || g.Dropped || g.Renewal != c.Give.Renewal || c.Give.To.ID == "" {
			return nil
		}
		g.Epoch++
		g.Holder = c.Give.To
		g.Renewal++
		if g.Wanted == g.Holder.ID {
			g.Wanted = ""
		}
		return []Work{g.Work}
	case c.Renew != nil:
		for _, claim := range c.Renew.Claims {
			if g := s.owned(c.Renew.Holder, claim); g != nil {
				g.Renewal++
				changed = append(changed, g.Work)
			}
		}
		return changed
	case c.Release != nil:
		if g := s.owned(c.Release.Holder, c.Release.Claim); g != nil {
			g.Holder = Holder{}
			g.Renewal++
			return []Work{g.Work}
		}
	case c.Put != nil:
		if g := s.owned(c.Put.Holder, c.Put.Claim); g != nil && c.Put.Serial == g.Serial+1 && len(c.Put.Data) <= MostData {
			g.Serial, g.Data = c.Put.Serial, c.Put.Data
			return []Work{g.Work}
		}
	case c.Get != nil:
		if g := s.owned(c.Get.Holder, c.Get.Claim); g != nil {
			return []Work{g.Work}
		}
	case c.Want != nil:
		if g := s.Grants[c.Want.Work]; g != nil && !g.Dropped && g.Holder.ID != c.Want.To && len(c.Want.To) <= mostName {
			g.Wanted = c.Want.To
			return []Work{g.Work}
		}
	}
	return nil
}

// name brings the works to those that are wanted. One that is not is kept with its epoch: named again, it goes on there.
func (s *State) name(wanted []Work) (changed []Work) {
	if s.Grants == nil {
		s.Grants = map[Work]*Grant{}
	}
	for _, w := range wanted {
		g := s.Grants[w]
		if g == nil && len(s.Grants) < mostWorks && w != "" && len(w) <= mostName {
			s.Grants[w] = &Grant{Work: w}
			changed = append(changed, w)
		} else if g != nil && g.Dropped {
			g.Dropped = false
			changed = append(changed, w)
		}
	}
	for _, w := range slices.Sorted(maps.Keys(s.Grants)) {
		if g := s.Grants[w]; !g.Dropped && !slices.Contains(wanted, w) {
			g.Dropped, g.Wanted = true, ""
			changed = append(changed, w)
		}
	}
	return changed
}

// owned is the grant that a claim is good for; nil: none.
func (s *State) owned(h Holder, c Claim) *Grant {
	if g := s.Grants[c.Work]; g != nil && g.Holder == h && g.Epoch == c.Epoch && h.ID != "" {
		return g
	}
	return nil
}

// Terms are the times of leases in ms.
type Terms struct {
	Lease float64
}

// An owner stops at a share of its lease after it sent the renewal that was granted, and the council gives the work to
// another at a multiple of it after the renewal was taken in. Between the two lies the margin: clocks that run 40% apart
// keep it, or a pause of half a lease between an owner's last look at its clock and the end of what it then began.
// Whoever breaks that has another owner beside it, and is refused by its epoch.
const (
	stopShare  = 0.7
	grantAfter = 1.5
	renewShare = 0.2
)

// HoldsFor is how long after sending a renewal an owner may begin something.
func (t Terms) HoldsFor() float64 { return stopShare * t.Lease }

// FreeAfter is how long after the last renewal the council waits.
func (t Terms) FreeAfter() float64 { return grantAfter * t.Lease }

// RenewEach is the time between an owner's renewals.
func (t Terms) RenewEach() float64 { return renewShare * t.Lease }

// Candidate is a controller that a work could be given to.
type Candidate struct {
	Holder  Holder
	Slow    bool // it is suspected, or leads: others are asked first
	Willing bool
}

// Steward is the leader's side: it counts leases by its own clock. It is made anew whenever this one begins to lead, and
// counts all leases from then: what an earlier leader counted is not known.
type Steward struct {
	terms Terms
	began float64
	since map[Work]float64   // when a renewal was last applied here
	rests map[string]float64 // who failed at which work, until
	tried map[Work]proposal  // what is on its way
	fresh map[Work]bool      // given and not renewed yet
}

type proposal struct {
	renewal uint64
	until   float64
}

const (
	restFor   = 60000.0 // ms for which who failed at a work does not get it again
	untaken   = 15000.0 // the same for who did not take a work up
	proposed  = 3000.0  // ms after which a proposal that was not agreed on is made anew
	wantedFor = 60000.0 // ms that a work waits free for whom an operator named
)

// NewSteward begins to lead now.
func NewSteward(t Terms, now float64) *Steward {
	return &Steward{terms: t, began: now, since: map[Work]float64{}, rests: map[string]float64{}, tried: map[Work]proposal{},
		fresh: map[Work]bool{}}
}

// Applied takes in an agreed command and what it changed.
func (s *Steward) Applied(now float64, c Command, changed []Work) {
	if c.Put != nil || c.Get != nil || c.Want != nil { // no sign of life that a lease counts from: the owner counts by renewals
		return
	}
	for _, w := range changed {
		s.since[w], s.fresh[w] = now, c.Give != nil
		delete(s.tried, w)
	}
	if r := c.Release; r != nil && len(changed) > 0 { // who gave it up does not get it back at once: it may be ending
		s.rests[rest(r.Claim.Work, r.Holder.ID)] = now + untaken
		if r.Failed {
			s.rests[rest(r.Claim.Work, r.Holder.ID)] = now + restFor
		}
	}
}

func rest(w Work, id members.ID) string { return string(w) + "\x00" + string(id) }

// Until is when a work may be given to another at the earliest.
func (s *Steward) Until(w Work) float64 { return max(s.began, s.since[w]) + s.terms.FreeAfter() }

// Next is when Decide is to be called at the latest.
func (s *Steward) Next(now float64, state *State) float64 {
	next := now + s.terms.Lease
	for w, g := range state.Grants {
		if g.Held() {
			next = min(next, max(now, s.Until(w)))
		}
	}
	return next
}

// Decide tells what is to be proposed now. A work stays with its owner as long as that renews it: whoever is better
// suited gets the next one that comes free.
func (s *Steward) Decide(now float64, state *State, candidates []Candidate) (commands []Command) {
	holding := map[members.ID]int{}
	for _, g := range state.Grants {
		if g.Held() && !g.Dropped {
			holding[g.Holder.ID]++
		}
	}
	for _, w := range slices.Sorted(maps.Keys(state.Grants)) {
		g := state.Grants[w]
		if p, ok := s.tried[w]; ok && p.renewal == g.Renewal && now < p.until {
			continue
		}
		if g.Dropped || g.Held() && now < s.Until(w) {
			continue
		}
		if g.Held() && s.fresh[w] { // it never took it up: it is gone, or another run than is known here
			s.rests[rest(w, g.Holder.ID)] = now + untaken
		}
		to, ok := s.choose(now, g, candidates, holding)
		if !ok {
			continue
		}
		holding[to.ID]++
		s.tried[w] = proposal{g.Renewal, now + proposed}
		commands = append(commands, Command{Give: &Give{Work: w, Renewal: g.Renewal, To: to}})
	}
	return commands
}

// choose finds who gets a free work: whom an operator named, if it is there within a time; else who has least, of those
// alike by a draw that differs by work, so that works spread.
func (s *Steward) choose(now float64, g *Grant, candidates []Candidate, holding map[members.ID]int) (Holder, bool) {
	if g.Wanted != "" {
		for _, c := range candidates {
			if c.Holder.ID == g.Wanted && c.Willing {
				return c.Holder, true
			}
		}
		if now < max(s.began, s.since[g.Work])+min(wantedFor, s.terms.Lease) {
			return Holder{}, false
		}
	}
	best, found := Candidate{}, false
	for _, c := range candidates {
		if !c.Willing || c.Holder == g.Holder && g.Held() && len(candidates) > 1 || now < s.rests[rest(g.Work, c.Holder.ID)] {
			continue // who did not renew in time is not the first choice
		}
		if !found || s.better(g.Work, c, best, holding) {
			best, found = c, true
		}
	}
	return best.Holder, found
}

func (s *Steward) better(w Work, a, b Candidate, holding map[members.ID]int) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	if n := cmp.Compare(holding[a.Holder.ID], holding[b.Holder.ID]); n != 0 {
		return n < 0
	}
	return draw(w, a.Holder.ID) < draw(w, b.Holder.ID)
}

func draw(w Work, id members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(w))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// Hand is an owner's side: what this controller may still do, by its own steady clock.
type Hand struct {
	self   Holder
	terms  Terms
	claims map[Work]*claim
	token  uint64
	sent   map[uint64]float64 // when a renewal was sent, by its token
	next   float64
	ended  []Claim
	began  []Claim
}

type claim struct {
	epoch Epoch
	until float64 // it may begin something before; 0: not yet
	told  bool    // that it began
}

// NewHand is for one life of a controller.
func NewHand(self Holder, t Terms) *Hand {
	return &Hand{self: self, terms: t, claims: map[Work]*claim{}, sent: map[uint64]float64{}}
}

// Offered takes in that this one is said to own a work. It may not act on that: what the message took to come is not
// known. It asks for a renewal, and counts from when it asked.
func (h *Hand) Offered(now float64, c Claim) {
	have := h.claims[c.Work]
	if have != nil && have.epoch >= c.Epoch || have == nil && len(h.claims) >= mostWorks {
		return
	}
	if have != nil {
		h.drop(c.Work)
	}
	h.claims[c.Work] = &claim{epoch: c.Epoch}
	h.next = now
}

// Renewal is the next sign of life, if one is due; nil: none.
func (h *Hand) Renewal(now float64) *Renew {
	h.expire(now)
	if len(h.claims) == 0 || now < h.next {
		return nil
	}
	h.next = now + h.terms.RenewEach()
	h.token++
	for token, at := range h.sent {
		if now-at > h.terms.Lease {
			delete(h.sent, token)
		}
	}
	h.sent[h.token] = now
	r := &Renew{Holder: h.self, Token: h.token}
	for _, w := range slices.Sorted(maps.Keys(h.claims)) {
		r.Claims = append(r.Claims, Claim{w, h.claims[w].epoch})
	}
	return r
}

// Hurry has the next renewal come at once, as the last one went to who could do nothing with it.
func (h *Hand) Hurry(now float64) { h.next = min(h.next, now) }

// Renewed takes in what was agreed upon a renewal: the claims that hold. Of those it named and that are not among them,
// this one is no longer the owner.
func (h *Hand) Renewed(now float64, token uint64, held []Claim) {
	at, ok := h.sent[token]
	if !ok {
		return
	}
	delete(h.sent, token)
	for _, c := range held {
		have := h.claims[c.Work]
		if have == nil || have.epoch != c.Epoch {
			continue
		}
		if have.until = max(have.until, at+h.terms.HoldsFor()); !have.told && now < have.until {
			have.told = true
			h.began = append(h.began, c)
		}
	}
}

// Refused takes in that a claim does not hold.
func (h *Hand) Refused(c Claim) {
	if have := h.claims[c.Work]; have != nil && have.epoch == c.Epoch {
		h.drop(c.Work)
	}
}

// May tells whether this one may begin an effect of a work now, in which epoch, and until when it has to be done.
func (h *Hand) May(now float64, w Work) (e Epoch, until float64, ok bool) {
	c := h.claims[w]
	if c == nil || now >= c.until {
		return 0, 0, false
	}
	return c.epoch, c.until, true
}

// GiveUp stops a work at once and returns what is to be told, nil if it is not held.
func (h *Hand) GiveUp(w Work, failed bool) *Release {
	c := h.claims[w]
	if c == nil {
		return nil
	}
	claim := Claim{w, c.epoch}
	h.drop(w)
	return &Release{Holder: h.self, Claim: claim, Failed: failed}
}

// Works are those that this one may act for now.
func (h *Hand) Works(now float64) (held []Claim) {
	for _, w := range slices.Sorted(maps.Keys(h.claims)) {
		if e, _, ok := h.May(now, w); ok {
			held = append(held, Claim{w, e})
		}
	}
	return held
}

// Turns hands over which works began and ended since the last call.
func (h *Hand) Turns(now float64) (began, ended []Claim) {
	h.expire(now)
	began, ended = h.began, h.ended
	h.began, h.ended = nil, nil
	return began, ended
}

// Next is when Renewal is to be called at the latest, or Turns.
func (h *Hand) Next(now float64) float64 {
	if len(h.claims) == 0 {
		return now + h.terms.Lease
	}
	next := max(now, h.next)
	for _, c := range h.claims {
		if c.told {
			next = min(next, max(now, c.until))
		}
	}
	return next
}

// expire drops what was not renewed in time. A claim that was never renewed is kept for a lease: the council may be away.
func (h *Hand) expire(now float64) {
	for _, w := range slices.Sorted(maps.Keys(h.claims)) {
		if c := h.claims[w]; c.told && now >= c.until {
			h.drop(w)
		}
	}
}

func (h *Hand) drop(w Work) {
	c := h.claims[w]
	delete(h.claims, w)
	if c.told {
		h.ended = append(h.ended, Claim{w, c.epoch})
	}
}

// Gate is the receivers' side: the highest epoch seen of each work.
type Gate struct{ seen map[Work]Epoch }

// NewGate begins from what was kept; nil: nothing.
func NewGate(kept map[Work]Epoch) *Gate {
	g := &Gate{seen: map[Work]Epoch{}}
	maps.Copy(g.seen, kept)
	return g
}

// Pass tells whether an effect of an epoch may be taken, and whether the epoch is new here: where effects last, it has to
// be kept durably before the effect is.
func (g *Gate) Pass(w Work, e Epoch) (ok, risen bool) {
	was, known := g.seen[w]
	if e == 0 || e < was || !known && len(g.seen) >= mostWorks {
		return false, false
	}
	if e > was {
		g.seen[w] = e
	}
	return true, e > was
}

// Seen is the highest epoch seen of each work.
func (g *Gate) Seen() map[Work]Epoch { return maps.Clone(g.seen) }

// Raise takes in that an epoch has begun somewhere: effects of lower ones are refused from now on.
func (g *Gate) Raise(w Work, e Epoch) {
	if _, known := g.seen[w]; known || len(g.seen) < mostWorks {
		g.seen[w] = max(g.seen[w], e)
	}
}

// Copy is a steward that shares nothing with this one: for those who look ahead along several ways.
func (s *Steward) Copy() *Steward {
	c := *s
	c.since, c.rests, c.tried, c.fresh = maps.Clone(s.since), maps.Clone(s.rests), maps.Clone(s.tried), maps.Clone(s.fresh)
	return &c
}

// Copy is the same of a hand.
func (h *Hand) Copy() *Hand {
	c := *h
	c.sent, c.claims = maps.Clone(h.sent), make(map[Work]*claim, len(h.claims))
	for w, one := range h.claims {
		own := *one
		c.claims[w] = &own
	}
	c.began, c.ended = slices.Clone(h.began), slices.Clone(h.ended)
	return &c
}

// SentAt is when the renewal of a token was sent; 0: it is not waited for.
func (h *Hand) SentAt(token uint64) float64 { return h.sent[token] }

// AppendKey adds all by which this hand will act, but for the renewals that are on their way: two with the same key and
// the same of these act alike.
func (h *Hand) AppendKey(b []byte) []byte {
	b = fmt.Append(b, h.self.Run, h.next)
	for _, w := range slices.Sorted(maps.Keys(h.claims)) {
		c := h.claims[w]
		b = fmt.Append(b, w, c.epoch, c.until, c.told)
	}
	return b
}

// AppendKey adds all by which this steward will decide.
func (s *Steward) AppendKey(b []byte, state *State) []byte {
	for _, w := range slices.Sorted(maps.Keys(state.Grants)) {
		b = fmt.Append(b, s.Until(w), s.fresh[w])
	}
	return b
}
