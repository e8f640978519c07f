// Package leases decides who of a fleet does what has exactly one holder at a time. It is free of I/O and clocks, in three
// parts that share types: State is what the quorum agrees on, the same on each of its members; Manager is what its
// leader concludes from time that passes; Client is what an holder may still do. FencingCheck, beside them, is what receivers of a
// lease's effects refuse. It stands beside the loop.
//
// One work, one holder, one fencing token that only rises. Clocks tell an holder when to stop and the leader when to give a lease to
// another; they never tell who is right: that is the fencing token, which whoever keeps an effect checks.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Name is the name of a lease.
type Name string

// Token counts the holders that a lease has had, over all generations of the fleet.
type Token uint64

// Holder is one incarnation of a controller: after a restart it is another.
type Holder struct {
	ID  members.ID `cbor:"1,keyasint"`
	Run uint64     `cbor:"2,keyasint"`
}

// Lease is what is agreed of one lease.
type Lease struct {
	Name      Name       `cbor:"1,keyasint"`
	Token     Token      `cbor:"2,keyasint"`
	Holder    Holder     `cbor:"3,keyasint"` // empty: nobody
	Renewal   uint64     `cbor:"4,keyasint"` // rises with each change and each renewal
	Preferred members.ID `cbor:"5,keyasint"` // by an operator's word, where it is to go next
	Retired   bool       `cbor:"6,keyasint"` // no longer wanted; kept for its fencing token
	Serial    uint64     `cbor:"7,keyasint,omitempty"`
	State     []byte     `cbor:"8,keyasint,omitempty"` // what its holders hand on
}

// Held tells whether somebody has it.
func (g Lease) Held() bool { return g.Holder.ID != "" }

// Bounds: on what is agreed, whatever is proposed.
const (
	maxLeases = 256
	maxName   = 64
	MaxData   = 128 << 10 // of what the holders of one lease hand on
)

// Command is one entry of the quorum's log; one of its fields is set.
type Command struct {
	Name    *Declare `cbor:"1,keyasint,omitempty"`
	Give    *Assign  `cbor:"2,keyasint,omitempty"`
	Renew   *Renew   `cbor:"3,keyasint,omitempty"`
	Release *Release `cbor:"4,keyasint,omitempty"`
	Want    *Prefer  `cbor:"5,keyasint,omitempty"`
	Put     *Put     `cbor:"6,keyasint,omitempty"`
	Get     *Get     `cbor:"7,keyasint,omitempty"`
}

// Put keeps what a lease's holder has to hand on to the next one: its whole state, small. It holds if the holder still is one,
// and knows the state before.
type Put struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
	Serial uint64 `cbor:"3,keyasint"` // one more than that of the state before
	Data   []byte `cbor:"4,keyasint"`
}

// Get asks for it, as of its own place among all that is agreed on: an holder that begins reads what every earlier one wrote.
type Get struct {
	Holder Holder `cbor:"1,keyasint"`
	Claim  Grant  `cbor:"2,keyasint"`
}

// Declare says which leases there are to be.
type Declare struct {
	Names []Name `cbor:"1,keyasint"`
}

// Assign hands a lease to another, if nothing has changed since the leader looked.
type Assign struct {
	Work    Name   `cbor:"1,keyasint"`
	Renewal uint64 `cbor:"2,keyasint"` // as it was
	To      Holder `cbor:"3,keyasint"`
}

// Grant is a lease with the fencing token in which it is claimed.
type Grant struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
}

// Renew is an holder's sign of life, for all its leases.
type Renew struct {
	Holder   Holder  `cbor:"1,keyasint"`
	Grants   []Grant `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
}

// Release is an holder's word that it has stopped, for good.
type Release struct {
	Holder Holder `cbor:"1,keyasint"`
	Claim  Grant  `cbor:"2,keyasint"`
	Failed bool   `cbor:"3,keyasint,omitempty"` // as it could not do the lease
}

// Prefer is an operator's word where a lease is to go.
type Prefer struct {
	Work Name       `cbor:"1,keyasint"`
	To   members.ID `cbor:"2,keyasint"`
}

// State is what is agreed. The zero value has no leases.
type State struct {
	Leases map[Name]*Lease
}

// Copy is one that shares nothing.
func (s *State) Copy() *State {
	c := &State{Leases: make(map[Name]*Lease, len(s.Leases))}
	for w, g := range s.Leases {
		own := *g
		c.Leases[w] = &own
	}
	return c
}

// List is all grants in the order of their names.
func (s *State) List() []Lease {
	list := make([]Lease, 0, len(s.Leases))
	for _, w := range slices.Sorted(maps.Keys(s.Leases)) {
		list = append(list, *s.Leases[w])
	}
	return list
}

// Restore takes over a list, as of a snapshot.
func (s *State) Restore(list []Lease) {
	s.Leases = make(map[Name]*Lease, len(list))
	for _, g := range list {
		s.Leases[g.Name] = &g
	}
}

// Apply takes in an agreed command, and tells which grants it changed or renewed. The same commands in the same order
// lead to the same state; one that no longer fits changes nothing.
func (s *State) Apply(c Command) (changed []Name) {
	switch {
	case c.Name != nil:
		return s.name(c.Name.Names)
	case c.Give != nil:
		g := s.Leases[c.Give.Work]
		if g == nil || g.Retired || g.Renewal != c.Give.Renewal || c.Give.To.ID == "" {
			return nil
		}
		g.Token++
		g.Holder = c.Give.To
		g.Renewal++
		if g.Preferred == g.Holder.ID {
			g.Preferred = ""
		}
		return []Name{g.Name}
	case c.Renew != nil:
		for _, claim := range c.Renew.Grants {
			if g := s.owned(c.Renew.Holder, claim); g != nil {
				g.Renewal++
				changed = append(changed, g.Name)
			}
		}
		return changed
	case c.Release != nil:
		if g := s.owned(c.Release.Holder, c.Release.Claim); g != nil {
			g.Holder = Holder{}
			g.Renewal++
			return []Name{g.Name}
		}
	case c.Put != nil:
		if g := s.owned(c.Put.Holder, c.Put.Grant); g != nil && c.Put.Serial == g.Serial+1 && len(c.Put.Data) <= MaxData {
			g.Serial, g.State = c.Put.Serial, c.Put.Data
			return []Name{g.Name}
		}
	case c.Get != nil:
		if g := s.owned(c.Get.Holder, c.Get.Claim); g != nil {
			return []Name{g.Name}
		}
	case c.Want != nil:
		if g := s.Leases[c.Want.Work]; g != nil && !g.Retired && g.Holder.ID != c.Want.To && len(c.Want.To) <= maxName {
			g.Preferred = c.Want.To
			return []Name{g.Name}
		}
	}
	return nil
}

// name brings the leases to those that are wanted. One that is not is kept with its fencing token: named again, it goes on there.
func (s *State) name(wanted []Name) (changed []Name) {
	if s.Leases == nil {
		s.Leases = map[Name]*Lease{}
	}
	for _, w := range wanted {
		g := s.Leases[w]
		if g == nil && len(s.Leases) < maxLeases && w != "" && len(w) <= maxName {
			s.Leases[w] = &Lease{Name: w}
			changed = append(changed, w)
		} else if g != nil && g.Retired {
			g.Retired = false
			changed = append(changed, w)
		}
	}
	for _, w := range slices.Sorted(maps.Keys(s.Leases)) {
		if g := s.Leases[w]; !g.Retired && !slices.Contains(wanted, w) {
			g.Retired, g.Preferred = true, ""
			changed = append(changed, w)
		}
	}
	return changed
}

// owned is the grant that a claim is good for; nil: none.
func (s *State) owned(h Holder, c Grant) *Lease {
	if g := s.Leases[c.Name]; g != nil && g.Holder == h && g.Token == c.Token && h.ID != "" {
		return g
	}
	return nil
}

// Terms are the times of leases in ms.
type Terms struct {
	Lease float64
}

// An holder stops at a share of its lease after it sent the renewal that was granted, and the quorum gives the lease to
// another at a multiple of it after the renewal was taken in. Between the two lies the margin: clocks that run 40% apart
// keep it, or a pause of half a lease between an holder's last look at its clock and the end of what it then began.
// Whoever breaks that has another holder beside it, and is refused by its fencing token.
const (
	stopShare  = 0.7
	grantAfter = 1.5
	renewShare = 0.2
)

// HoldsFor is how long after sending a renewal an holder may begin something.
func (t Terms) HoldsFor() float64 { return stopShare * t.Lease }

// FreeAfter is how long after the last renewal the quorum waits.
func (t Terms) FreeAfter() float64 { return grantAfter * t.Lease }

// RenewEach is the time between an holder's renewals.
func (t Terms) RenewEach() float64 { return renewShare * t.Lease }

// Candidate is a controller that a lease could be given to.
type Candidate struct {
	Holder  Holder
	Slow    bool // it is suspected, or leads: others are asked first
	Willing bool
}

// Manager is the leader's side: it counts leases by its own clock. It is made anew whenever this one begins to lead, and
// counts all leases from then: what an earlier leader counted is not known.
type Manager struct {
	terms Terms
	began float64
	since map[Name]float64   // when a renewal was last applied here
	rests map[string]float64 // who failed at which lease, until
	tried map[Name]proposal  // what is on its way
	fresh map[Name]bool      // given and not renewed yet
}

type proposal struct {
	renewal uint64
	until   float64
}

const (
	restFor   = 60000.0 // ms for which who failed at a lease does not get it again
	untaken   = 15000.0 // the same for who did not take a lease up
	proposed  = 3000.0  // ms after which a proposal that was not agreed on is made anew
	wantedFor = 60000.0 // ms that a lease waits free for whom an operator named
)

// NewManager begins to lead now.
func NewManager(t Terms, now float64) *Manager {
	return &Manager{terms: t, began: now, since: map[Name]float64{}, rests: map[string]float64{}, tried: map[Name]proposal{},
		fresh: map[Name]bool{}}
}

// Applied takes in an agreed command and what it changed.
func (s *Manager) Applied(now float64, c Command, changed []Name) {
	if c.Put != nil || c.Get != nil || c.Want != nil { // no sign of life that a lease counts from: the holder counts by renewals
		return
	}
	for _, w := range changed {
		s.since[w], s.fresh[w] = now, c.Give != nil
		delete(s.tried, w)
	}
	if r := c.Release; r != nil && len(changed) > 0 { // who gave it up does not get it back at once: it may be ending
		s.rests[rest(r.Claim.Name, r.Holder.ID)] = now + untaken
		if r.Failed {
			s.rests[rest(r.Claim.Name, r.Holder.ID)] = now + restFor
		}
	}
}

func rest(w Name, id members.ID) string { return string(w) + "\x00" + string(id) }

// Until is when a lease may be given to another at the earliest.
func (s *Manager) Until(w Name) float64 { return max(s.began, s.since[w]) + s.terms.FreeAfter() }

// Next is when Decide is to be called at the latest.
func (s *Manager) Next(now float64, state *State) float64 {
	next := now + s.terms.Lease
	for w, g := range state.Leases {
		if g.Held() {
			next = min(next, max(now, s.Until(w)))
		}
	}
	return next
}

// Decide tells what is to be proposed now. A lease stays with its holder as long as that renews it: whoever is better
// suited gets the next one that comes free.
func (s *Manager) Decide(now float64, state *State, candidates []Candidate) (commands []Command) {
	holding := map[members.ID]int{}
	for _, g := range state.Leases {
		if g.Held() && !g.Retired {
			holding[g.Holder.ID]++
		}
	}
	for _, w := range slices.Sorted(maps.Keys(state.Leases)) {
		g := state.Leases[w]
		if p, ok := s.tried[w]; ok && p.renewal == g.Renewal && now < p.until {
			continue
		}
		if g.Retired || g.Held() && now < s.Until(w) {
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
		commands = append(commands, Command{Give: &Assign{Work: w, Renewal: g.Renewal, To: to}})
	}
	return commands
}

// choose finds who gets a free lease: whom an operator named, if it is there within a time; else who has least, of those
// alike by a draw that differs by work, so that leases spread.
func (s *Manager) choose(now float64, g *Lease, candidates []Candidate, holding map[members.ID]int) (Holder, bool) {
	if g.Preferred != "" {
		for _, c := range candidates {
			if c.Holder.ID == g.Preferred && c.Willing {
				return c.Holder, true
			}
		}
		if now < max(s.began, s.since[g.Name])+min(wantedFor, s.terms.Lease) {
			return Holder{}, false
		}
	}
	best, found := Candidate{}, false
	for _, c := range candidates {
		if !c.Willing || c.Holder == g.Holder && g.Held() && len(candidates) > 1 || now < s.rests[rest(g.Name, c.Holder.ID)] {
			continue // who did not renew in time is not the first choice
		}
		if !found || s.better(g.Name, c, best, holding) {
			best, found = c, true
		}
	}
	return best.Holder, found
}

func (s *Manager) better(w Name, a, b Candidate, holding map[members.ID]int) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	if n := cmp.Compare(holding[a.Holder.ID], holding[b.Holder.ID]); n != 0 {
		return n < 0
	}
	return draw(w, a.Holder.ID) < draw(w, b.Holder.ID)
}

func draw(w Name, id members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(w))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// Client is an holder's side: what this controller may still do, by its own steady clock.
type Client struct {
	self  Holder
	terms Terms
	held  map[Name]*held
	token uint64
	sent  map[uint64]float64 // when a renewal was sent, by its token
	next  float64
	ended []Grant
	began []Grant
}

type held struct {
	epoch Token
	until float64 // it may begin something before; 0: not yet
	told  bool    // that it began
}

// NewClient is for one incarnation of a controller.
func NewClient(self Holder, t Terms) *Client {
	return &Client{self: self, terms: t, held: map[Name]*held{}, sent: map[uint64]float64{}}
}

// Offered takes in that this one is said to own a lease. It may not act on that: what the message took to come is not
// known. It asks for a renewal, and counts from when it asked.
func (h *Client) Offered(now float64, c Grant) {
	have := h.held[c.Name]
	if have != nil && have.epoch >= c.Token || have == nil && len(h.held) >= maxLeases {
		return
	}
	if have != nil {
		h.drop(c.Name)
	}
	h.held[c.Name] = &held{epoch: c.Token}
	h.next = now
}

// Renewal is the next sign of life, if one is due; nil: none.
func (h *Client) Renewal(now float64) *Renew {
	h.expire(now)
	if len(h.held) == 0 || now < h.next {
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
	r := &Renew{Holder: h.self, Sequence: h.token}
	for _, w := range slices.Sorted(maps.Keys(h.held)) {
		r.Grants = append(r.Grants, Grant{w, h.held[w].epoch})
	}
	return r
}

// Hurry has the next renewal come at once, as the last one went to who could do nothing with it.
func (h *Client) Hurry(now float64) { h.next = min(h.next, now) }

// Renewed takes in what was agreed upon a renewal: the claims that hold. Of those it named and that are not among them,
// this one is no longer the holder.
func (h *Client) Renewed(now float64, token uint64, held []Grant) {
	at, ok := h.sent[token]
	if !ok {
		return
	}
	delete(h.sent, token)
	for _, c := range held {
		have := h.held[c.Name]
		if have == nil || have.epoch != c.Token {
			continue
		}
		if have.until = max(have.until, at+h.terms.HoldsFor()); !have.told && now < have.until {
			have.told = true
			h.began = append(h.began, c)
		}
	}
}

// Refused takes in that a claim does not hold.
func (h *Client) Refused(c Grant) {
	if have := h.held[c.Name]; have != nil && have.epoch == c.Token {
		h.drop(c.Name)
	}
}

// CanAct tells whether this one may begin an effect of a lease now, in which fencing token, and until when it has to be done.
func (h *Client) CanAct(now float64, w Name) (e Token, until float64, ok bool) {
	c := h.held[w]
	if c == nil || now >= c.until {
		return 0, 0, false
	}
	return c.epoch, c.until, true
}

// GiveUp stops a lease at once and returns what is to be told, nil if it is not held.
func (h *Client) GiveUp(w Name, failed bool) *Release {
	c := h.held[w]
	if c == nil {
		return nil
	}
	claim := Grant{w, c.epoch}
	h.drop(w)
	return &Release{Holder: h.self, Claim: claim, Failed: failed}
}

// Held are those that this one may act for now.
func (h *Client) Held(now float64) (held []Grant) {
	for _, w := range slices.Sorted(maps.Keys(h.held)) {
		if e, _, ok := h.CanAct(now, w); ok {
			held = append(held, Grant{w, e})
		}
	}
	return held
}

// Turns hands over which leases began and ended since the last call.
func (h *Client) Turns(now float64) (began, ended []Grant) {
	h.expire(now)
	began, ended = h.began, h.ended
	h.began, h.ended = nil, nil
	return began, ended
}

// Next is when Renewal is to be called at the latest, or Turns.
func (h *Client) Next(now float64) float64 {
	if len(h.held) == 0 {
		return now + h.terms.Lease
	}
	next := max(now, h.next)
	for _, c := range h.held {
		if c.told {
			next = min(next, max(now, c.until))
		}
	}
	return next
}

// expire drops what was not renewed in time. A claim that was never renewed is kept for a lease: the quorum may be away.
func (h *Client) expire(now float64) {
	for _, w := range slices.Sorted(maps.Keys(h.held)) {
		if c := h.held[w]; c.told && now >= c.until {
			h.drop(w)
		}
	}
}

func (h *Client) drop(w Name) {
	c := h.held[w]
	delete(h.held, w)
	if c.told {
		h.ended = append(h.ended, Grant{w, c.epoch})
	}
}

// FencingCheck is the receivers' side: the highest fencing token seen of each lease.
type FencingCheck struct{ seen map[Name]Token }

// NewFencingCheck begins from what was kept; nil: nothing.
func NewFencingCheck(kept map[Name]Token) *FencingCheck {
	g := &FencingCheck{seen: map[Name]Token{}}
	maps.Copy(g.seen, kept)
	return g
}

// Pass tells whether an effect of an fencing token may be taken, and whether the fencing token is new here: where effects last, it has to
// be kept durably before the effect is.
func (g *FencingCheck) Pass(w Name, e Token) (ok, risen bool) {
	was, known := g.seen[w]
	if e == 0 || e < was || !known && len(g.seen) >= maxLeases {
		return false, false
	}
	if e > was {
		g.seen[w] = e
	}
	return true, e > was
}

// Seen is the highest fencing token seen of each lease.
func (g *FencingCheck) Seen() map[Name]Token { return maps.Clone(g.seen) }

// Raise takes in that an fencing token has begun somewhere: effects of lower ones are refused from now on.
func (g *FencingCheck) Raise(w Name, e Token) {
	if _, known := g.seen[w]; known || len(g.seen) < maxLeases {
		g.seen[w] = max(g.seen[w], e)
	}
}

// Copy is a lease manager that shares nothing with this one: for those who look ahead along several ways.
func (s *Manager) Copy() *Manager {
	c := *s
	c.since, c.rests, c.tried, c.fresh = maps.Clone(s.since), maps.Clone(s.rests), maps.Clone(s.tried), maps.Clone(s.fresh)
	return &c
}

// Copy is the same of a hand.
func (h *Client) Copy() *Client {
	c := *h
	c.sent, c.held = maps.Clone(h.sent), make(map[Name]*held, len(h.held))
	for w, one := range h.held {
		own := *one
		c.held[w] = &own
	}
	c.began, c.ended = slices.Clone(h.began), slices.Clone(h.ended)
	return &c
}

// SentAt is when the renewal of a token was sent; 0: it is not waited for.
func (h *Client) SentAt(token uint64) float64 { return h.sent[token] }

// AppendKey adds all by which this hand will act, but for the renewals that are on their way: two with the same key and
// the same of these act alike.
func (h *Client) AppendKey(b []byte) []byte {
	b = fmt.Append(b, h.self.Run, h.next)
	for _, w := range slices.Sorted(maps.Keys(h.held)) {
		c := h.held[w]
		b = fmt.Append(b, w, c.epoch, c.until, c.told)
	}
	return b
}

// AppendKey adds all by which this lease manager will decide.
func (s *Manager) AppendKey(b []byte, state *State) []byte {
	for _, w := range slices.Sorted(maps.Keys(state.Leases)) {
		b = fmt.Append(b, s.Until(w), s.fresh[w])
	}
	return b
}
