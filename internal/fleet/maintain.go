package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/router"
)

// Maintenance is the work that takes engines out and brings them back. Its owner conducts by core/fleet/maintenance: its
// plans and steps are agreed through the council, so that the next owner goes on; what controllers are to hold is an effect
// with its epoch, so that an old conductor changes nothing. Every controller, its owner too, holds what it was told to and
// confirms when nothing of its own is out there.
const Maintenance lease.Name = "maintenance"

const (
	conductEach  = 500.0  // ms between two looks
	announceEach = 1000.0 // ms between two words of what is to be held, to each controller
	confirmLast  = 5000.0 // ms for which a confirmation counts: a controller says it again with each word that it hears
	handEach     = 2000.0 // ms after which a state that was not agreed on yet is written again
	mostOrders   = 64
	lostFor      = 3600e3 // ms for which one that nobody took and that is not there counts as lost: after that it has left for good
)

// agreedMaintenance is what conductors hand on.
type agreedMaintenance struct {
	Plans   []maintenance.Plan     `cbor:"1,keyasint"`
	Tasks   []maintenance.Task     `cbor:"2,keyasint"`
	Without []members.ID           `cbor:"3,keyasint,omitempty"` // whose confirmation an operator does without
	Known   []maintenance.EngineID `cbor:"5,keyasint,omitempty"` // that there should be
	Hooked  map[string]uint64      `cbor:"6,keyasint,omitempty"` // the number of the task for which a program has done its part
}

// holding is what all controllers are told.
type holding struct {
	Serial  uint64            `cbor:"1,keyasint"`
	Engines []router.EngineID `cbor:"2,keyasint"`
}

// confirmation is what a controller says of it.
type confirmation struct {
	_       struct{} `cbor:",toarray"`
	Is      string   // "maintenance": tells it from words of other programs
	Epoch   uint64
	Serial  uint64
	Stopped []router.EngineID // held here, with nothing of its own out there
	Order   *order
	Answer  *answer
}

type order struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64
	JSON []byte
}

type answer struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64
	JSON []byte
}

const isMaintenance = "maintenance"

// Keeper is what maintenance needs of its controller.
type Keeper struct {
	Engines func(ctx context.Context) ([]router.EngineNow, error)
	Hold    func([]router.EngineID)
	Kinds   []string // names, by number
	Bounds  [][]router.KindID
	Log     *slog.Logger
}

// MaintenanceOrder is what an operator wants of the conductor.
type MaintenanceOrder struct {
	Do    string             `json:"do"` // "status", "plan", "check", "halt", "resume", "withdraw", "done", "without"
	Plans []maintenance.Plan `json:"plans,omitempty"`
	Name  string             `json:"name,omitempty"` // of a plan, an engine or a controller
}

// MaintenanceStatus is how it stands.
type MaintenanceStatus struct {
	Conductor string             `json:"conductor"`
	Epoch     uint64             `json:"epoch"`
	Serial    uint64             `json:"serial"`
	Plans     []maintenance.Plan `json:"plans"`
	Tasks     []TaskStatus       `json:"tasks"`
	Reasons   []string           `json:"reasons"`
	Forecasts []ForecastStatus   `json:"forecasts"`
	Problems  []string           `json:"problems,omitempty"`
	Error     string             `json:"error,omitempty"`
}

// ForecastStatus is when a plan will be done, in nine of ten cases.
type ForecastStatus struct {
	Plan   string    `json:"plan"`
	After  time.Time `json:"after"`
	Before time.Time `json:"before"`
}

// TaskStatus is the work on one engine.
type TaskStatus struct {
	Engine       string   `json:"engine"`
	Plan         string   `json:"plan"`
	Step         string   `json:"step"`
	SinceMS      int64    `json:"since_ms"`
	NotConfirmed []string `json:"not_confirmed,omitempty"` // controllers that may still send to it, for all that is known
	Waits        string   `json:"waits,omitempty"`
}

// Conductor is the program of maintenance.
type Conductor struct {
	keeper Keeper
	block  atomic.Pointer[MaintenanceBlock]
	now    func() float64 // ms since 1970

	owns    bool
	claim   lease.Grant
	known   bool // the agreed state has come
	agreed  agreedMaintenance
	serial  uint64
	putting bool
	putAt   float64
	next    float64
	tellAt  float64
	id      uint64
	confirm map[members.ID]confirmed
	reasons []maintenance.Reason
	waits   map[maintenance.EngineID]string
	orders  []waitingOrder
	lostAt  map[maintenance.EngineID]float64 // since when one is not there, as this conductor saw it

	holds      holding // what this controller was told
	holdsEpoch lease.Token
	holdsFrom  members.ID
	confirmAt  float64
	refs       map[uint64]chan MaintenanceStatus
	ref        uint64

	mu      sync.Mutex
	engines []router.EngineNow
	asking  bool
	told    int               // how often what is to be held has changed
	toHold  []router.EngineID // and what it is now
	applied int               // up to which change the loop has been told
	hooks   map[string]hookState
	ctx     context.Context
	end     context.CancelFunc
	group   sync.WaitGroup
}

type confirmed struct {
	serial  uint64
	stopped []router.EngineID
	at      float64
}

type waitingOrder struct {
	from members.ID
	ref  uint64
	MaintenanceOrder
}

type hookState struct {
	number  uint64
	running bool
	done    bool
	err     error
	at      time.Time
}

// NewConductor is the program.
func NewConductor(k Keeper, b MaintenanceBlock) *Conductor {
	ctx, end := context.WithCancel(context.Background())
	c := &Conductor{keeper: k, confirm: map[members.ID]confirmed{}, waits: map[maintenance.EngineID]string{},
		lostAt: map[maintenance.EngineID]float64{}, refs: map[uint64]chan MaintenanceStatus{}, hooks: map[string]hookState{}, ctx: ctx, end: end, ref: draw() >> 1,
		now: func() float64 { return float64(time.Now().UnixMicro()) / 1e3 }}
	c.block.Store(&b)
	return c
}

// SetBlock has the programs and times of another block used from now on. A program that runs goes on as it began.
func (c *Conductor) SetBlock(b MaintenanceBlock) { c.block.Store(&b) }

// Began and the others are those of Program.
func (c *Conductor) Began(h Context, claim lease.Grant) {
	if claim.Name != Maintenance {
		return
	}
	c.owns, c.claim, c.known, c.putting, c.next = true, claim, false, false, h.Now()
	c.confirm = map[members.ID]confirmed{}
	h.RequestState(Maintenance)
}

func (c *Conductor) Ended(claim lease.Grant) {
	if claim.Name == Maintenance {
		c.owns, c.known = false, false
	}
}

func (c *Conductor) Close() {
	c.end()
	c.group.Wait()
}

func (c *Conductor) VerdictReceived(node.Verdict) {}

// StateReceived takes in the agreed state.
func (c *Conductor) StateReceived(h Context, s node.Checkpoint) {
	if s.Claim != c.claim || !c.owns {
		return
	}
	if c.known && s.Serial <= c.serial {
		c.putting = c.putting && s.Serial < c.serial
		return
	}
	var a agreedMaintenance
	if len(s.Data) > 0 {
		if err := frames.Decoder.Unmarshal(s.Data, &a); err != nil {
			c.keeper.Log.Error("maintenance: the agreed state can't be read", "why", err)
			h.Release(Maintenance, true)
			return
		}
	}
	c.agreed, c.serial, c.known, c.putting = a, s.Serial, true, false
	if c.agreed.Hooked == nil {
		c.agreed.Hooked = map[string]uint64{}
	}
}

// put has a changed state agreed on; what it says is acted on when it is.
func (c *Conductor) put(h Context, a agreedMaintenance) {
	data, err := cbor.Marshal(a)
	if err != nil || len(data) > lease.MaxData {
		c.keeper.Log.Error("maintenance: the state is too big to be agreed on", "bytes", len(data))
		return
	}
	if h.ProposeState(Maintenance, c.serial+1, data) {
		c.putting, c.putAt = true, h.Now()
	}
}

func (c *Conductor) Tick(h Context, now float64) {
	c.confirmHolds(h)
	if !c.owns || now < c.next {
		return
	}
	c.next = now + conductEach
	c.look()
	if !c.known || c.putting {
		if now > c.putAt+handEach { // the word or its answer was lost: what is agreed tells
			c.putAt, c.putting = now, false
			c.known = false
			h.RequestState(Maintenance)
		}
		return
	}
	if now >= c.tellAt {
		c.tellAt = now + announceEach
		c.announce(h)
	}
	if len(c.orders) > 0 {
		first := c.orders[0]
		c.orders = c.orders[1:]
		c.carry(h, first)
		return
	}
	c.conduct(h)
}

// look has the loop asked what it knows of the engines, beside the core's goroutine.
func (c *Conductor) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking {
		return
	}
	c.asking = true
	told, hold, change := c.told, c.toHold, c.told != c.applied
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
		defer cancel()
		if change { // ahead of the question, so that its answer tells of what is held now
			c.keeper.Hold(hold)
		}
		list, err := c.keeper.Engines(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asking, c.applied = false, told
		if err == nil && told == c.told { // else it tells of a time before the last change
			c.engines = list
		}
	})
}

// held are the engines that controllers are to send nothing to.
func (c *Conductor) held() (list []router.EngineID) {
	for _, t := range c.agreed.Tasks {
		if t.Step >= maintenance.Draining && t.Step <= maintenance.Returning || t.Step == maintenance.Missing {
			list = append(list, router.EngineID(t.Engine))
		}
	}
	slices.Sort(list)
	return list
}

// announce tells every controller, again and again: one that has not heard it in time, or begins, hears the next.
func (c *Conductor) announce(h Context) {
	data, err := cbor.Marshal(holding{c.serial, c.held()})
	if err != nil {
		return
	}
	for _, m := range h.Members() {
		if m.State <= members.Suspect || m.State == members.Gone { // who is gone may be cut off: it may hear
			c.id++
			h.TryEffect(Maintenance, m.ID, c.id, data)
		}
	}
}

// EffectReceived takes in what this controller is to hold, from the latest conductor.
func (c *Conductor) EffectReceived(_ Context, from members.ID, e node.Effect) {
	if e.Claim.Name != Maintenance {
		return
	}
	var told holding
	if err := frames.Decoder.Unmarshal(e.Data, &told); err != nil || e.Claim.Token == c.holdsEpoch && told.Serial < c.holds.Serial {
		return
	}
	if !slices.Equal(told.Engines, c.holds.Engines) || e.Claim.Token != c.holdsEpoch {
		c.mu.Lock()
		c.told, c.toHold, c.engines = c.told+1, told.Engines, nil
		c.mu.Unlock()
		c.keeper.Log.Info("maintenance: holds", "engines", len(told.Engines), "epoch", uint64(e.Claim.Token), "serial", told.Serial)
	}
	c.holds, c.holdsEpoch, c.holdsFrom = told, e.Claim.Token, from
	c.look()
}

// confirmHolds says which of the held engines this controller has stopped sending to, with nothing of its own out there.
func (c *Conductor) confirmHolds(h Context) {
	c.mu.Lock()
	change, engines := c.told != c.applied, c.engines
	c.mu.Unlock()
	if change {
		c.look()
	}
	if c.holdsFrom == "" || len(c.holds.Engines) == 0 || h.Now() < c.confirmAt {
		return
	}
	c.confirmAt = h.Now() + conductEach
	if c.look(); engines == nil {
		return
	}
	word := confirmation{Is: isMaintenance, Epoch: uint64(c.holdsEpoch), Serial: c.holds.Serial}
	for _, id := range c.holds.Engines {
		stopped := true
		for _, e := range engines {
			if e.Engine == id && (e.State == router.Ready || e.Out > 0) {
				stopped = false
			}
		}
		if stopped {
			word.Stopped = append(word.Stopped, id)
		}
	}
	sayMaintenance(h, c.holdsFrom, word)
}

func sayMaintenance(h Context, to members.ID, w confirmation) {
	w.Is = isMaintenance
	if data, err := cbor.Marshal(w); err == nil {
		h.SendMessage(to, data)
	}
}

func (c *Conductor) MessageReceived(h Context, from members.ID, data []byte) bool {
	var w confirmation
	if err := frames.Decoder.Unmarshal(data, &w); err != nil || w.Is != isMaintenance {
		return false
	}
	switch {
	case w.Order != nil:
		var o MaintenanceOrder
		if !c.owns || !c.known || len(c.orders) >= mostOrders || json.Unmarshal(w.Order.JSON, &o) != nil {
			c.reply(h, from, w.Order.Ref, MaintenanceStatus{Error: "this controller does not conduct maintenance now: ask again"})
			break
		}
		c.orders = append(c.orders, waitingOrder{from, w.Order.Ref, o})
	case w.Answer != nil:
		var s MaintenanceStatus
		if reply := c.refs[w.Answer.Ref]; reply != nil && json.Unmarshal(w.Answer.JSON, &s) == nil {
			delete(c.refs, w.Answer.Ref)
			reply <- s
		}
	case c.owns && w.Epoch == uint64(c.claim.Token):
		c.confirm[from] = confirmed{w.Serial, w.Stopped, h.Now()}
	}
	return true
}

func (c *Conductor) reply(h Context, to members.ID, ref uint64, s MaintenanceStatus) {
	if data, err := json.Marshal(s); err == nil {
		sayMaintenance(h, to, confirmation{Answer: &answer{Ref: ref, JSON: data}})
	}
}

// unconfirmed are the controllers that may still send to an engine, for all that the conductor knows: whoever it ever heard
// of, but for those that said that they end and those that an operator does without.
func (c *Conductor) unconfirmed(h Context, id maintenance.EngineID) (list []string) {
	for _, m := range h.Members() {
		if m.State == members.Left || m.Run == 0 || slices.Contains(c.agreed.Without, m.ID) {
			continue
		}
		k, ok := c.confirm[m.ID]
		if !ok || h.Now()-k.at > confirmLast || !slices.Contains(k.stopped, router.EngineID(id)) {
			list = append(list, string(m.ID))
		}
	}
	return list
}

// view is what the order goes by.
func (c *Conductor) view(h Context) maintenance.View {
	c.mu.Lock()
	engines := c.engines
	c.mu.Unlock()
	v := maintenance.View{Now: c.now(), Tasks: c.agreed.Tasks, Plans: c.agreed.Plans, Listed: c.block.Load().List}
	if len(engines) == 0 {
		v.Behind = "the engines have not been looked at yet"
	}
	for _, e := range engines {
		if e.State == router.Gone {
			continue
		}
		kind := ""
		if int(e.Kind) >= 0 && int(e.Kind) < len(c.keeper.Kinds) {
			kind = c.keeper.Kinds[e.Kind]
		}
		x := maintenance.Engine{ID: maintenance.EngineID(e.Engine), Zone: maintenance.Zone(e.Zone), Kind: maintenance.Kind(kind),
			Cores: e.Cores, Ready: e.State == router.Ready, Since: e.Since, WarmAt: e.WarmAt, Load: min(1, e.Load)}
		if slices.Contains(c.holds.Engines, e.Engine) { // it is we who have it drain: is it back?
			x.Ready = e.Listed == router.Ready
		}
		for _, t := range e.Tables {
			x.Groups = append(x.Groups, maintenance.Held{Group: maintenance.Group(t.Tables), Asked: t.Asked, Homes: t.Homes})
		}
		v.Engines = append(v.Engines, x)
	}
	for _, id := range c.agreed.Known {
		if !slices.ContainsFunc(v.Engines, func(e maintenance.Engine) bool { return e.ID == id && e.Ready }) &&
			!slices.ContainsFunc(v.Tasks, func(t maintenance.Task) bool { return t.Engine == id && t.Step != maintenance.Done }) {
			if c.lostAt[id] == 0 {
				c.lostAt[id] = v.Now
			}
			if v.Now < c.lostAt[id]+lostFor {
				v.Lost = append(v.Lost, maintenance.Engine{ID: id})
			}
		} else {
			delete(c.lostAt, id)
		}
	}
	for _, kinds := range c.keeper.Bounds {
		b := maintenance.Bound{}
		for _, k := range kinds {
			if int(k) >= 0 && int(k) < len(c.keeper.Kinds) {
				b.Kinds = append(b.Kinds, maintenance.Kind(c.keeper.Kinds[k]))
			}
		}
		for _, e := range v.Engines { // all that runs there may be of that profile
			if slices.Contains(b.Kinds, e.Kind) {
				b.Needs += e.Load * e.Cores
			}
		}
		v.Bounds = append(v.Bounds, b)
	}
	for _, m := range h.Members() {
		if m.State == members.Suspect {
			v.Behind = string(m.ID) + " does not answer just now"
		}
	}
	return v
}

// conduct makes the next step, if there is one, and has it agreed on.
func (c *Conductor) conduct(h Context) {
	v := c.view(h)
	for _, t := range c.agreed.Tasks {
		if m := c.step(h, v, t); m != nil {
			c.move(h, v, *m)
			return
		}
	}
	limits := maintenance.Usual()
	limits.Prepare = float64(c.block.Load().Prepare) / 1e6
	m, reasons := maintenance.Decide(v, limits)
	if c.reasons = reasons; m != nil {
		c.move(h, v, *m)
	}
}

// step is what hands, confirmations and operators have told of a task.
func (c *Conductor) step(h Context, v maintenance.View, t maintenance.Task) *maintenance.Move {
	to := func(s maintenance.Step) *maintenance.Move {
		return &maintenance.Move{Engine: t.Engine, Plan: t.Plan, From: t.Step, To: s}
	}
	wait := func(format string, args ...any) *maintenance.Move {
		c.waits[t.Engine] = fmt.Sprintf(format, args...)
		return nil
	}
	delete(c.waits, t.Engine)
	switch t.Step {
	case maintenance.Draining:
		if done, why := c.hook("drain", c.block.Load().Drain, t); !done {
			return wait("%s", why)
		}
		if list := c.unconfirmed(h, t.Engine); len(list) > 0 {
			return wait("not confirmed by %s", first(list))
		}
		if c.block.Load().List && c.listed(t.Engine) == router.Ready {
			return wait("the list still tells that it is there for work: a controller that starts now would send to it")
		}
		return to(maintenance.Free)
	case maintenance.Free:
		return to(maintenance.Working)
	case maintenance.Working:
		if c.block.Load().Work == "" {
			if c.agreed.Hooked["work "+string(t.Engine)] != t.Number {
				return wait("a person's word that the work is done")
			}
		} else if done, why := c.hook("work", c.block.Load().Work, t); !done {
			return wait("%s", why)
		}
		return to(maintenance.Returning)
	case maintenance.Returning:
		if done, why := c.hook("back", c.block.Load().Back, t); !done {
			return wait("%s", why)
		}
	}
	return nil
}

func first(list []string) string {
	if len(list) > 5 {
		return fmt.Sprintf("%v and %d more", list[:5], len(list)-5)
	}
	return fmt.Sprint(list)
}

// listed is what the list tells of an engine, and not what this controller holds. Where it holds it, the loop's word is
// Draining either way, so the conductor goes by what its own loop was told: see Keeper.Engines.
func (c *Conductor) listed(id maintenance.EngineID) router.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		if maintenance.EngineID(e.Engine) == id {
			return e.Listed
		}
	}
	return router.Gone
}

func (c *Conductor) move(h Context, v maintenance.View, m maintenance.Move) {
	e := maintenance.Engine{ID: m.Engine}
	for _, x := range v.Engines {
		if x.ID == m.Engine {
			e = x
		}
	}
	tasks, ok := maintenance.Apply(c.agreed.Tasks, m, e, v.Now)
	if !ok {
		return
	}
	a := c.agreed
	a.Tasks = tasks
	a.Known = c.expected(v)
	c.keeper.Log.Info("maintenance: step", "engine", string(m.Engine), "to", m.To.String())
	c.put(h, a)
}

// expected are the engines that there should be: all that were ever there while plans were, but for those that left for good.
func (c *Conductor) expected(v maintenance.View) []maintenance.EngineID {
	list := slices.DeleteFunc(slices.Clone(c.agreed.Known), func(id maintenance.EngineID) bool {
		return c.lostAt[id] > 0 && v.Now >= c.lostAt[id]+lostFor
	})
	for _, e := range v.Engines {
		if e.Ready && !slices.Contains(list, e.ID) && len(list) < 4096 {
			list = append(list, e.ID)
		}
	}
	slices.Sort(list)
	return list
}

// hook has a program of the installation do its part, once for each number of a task; after a conductor died within, the next
// has it done again, with the same number.
func (c *Conductor) hook(step, path string, t maintenance.Task) (done bool, why string) {
	if path == "" {
		return true, ""
	}
	key := step + " " + string(t.Engine)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.hooks[key]
	if s.number != t.Number {
		s = hookState{number: t.Number}
	}
	switch {
	case s.done:
		return true, ""
	case s.running:
		return false, step + " is under way"
	case s.err != nil && time.Since(s.at) < 10*time.Second:
		return false, fmt.Sprintf("%s: %v; tried again after 10 s", step, s.err)
	}
	s.running = true
	c.hooks[key] = s
	within := c.block.Load().Within
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, within)
		defer cancel()
		cmd := exec.CommandContext(ctx, path, step, string(t.Engine), strconv.FormatUint(t.Number, 10))
		cmd.WaitDelay = time.Second
		err := cmd.Run()
		if ctx.Err() != nil {
			err = fmt.Errorf("not done within %v", within)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if now := c.hooks[key]; now.number == t.Number {
			c.hooks[key] = hookState{number: t.Number, done: err == nil, err: err, at: time.Now()}
		}
	})
	return false, step + " is under way"
}

// carry does what an operator wants.
func (c *Conductor) carry(h Context, o waitingOrder) {
	a := c.agreed
	a.Plans, a.Without = slices.Clone(a.Plans), slices.Clone(a.Without)
	v := c.view(h)
	s := MaintenanceStatus{}
	find := func() *maintenance.Plan {
		for i := range a.Plans {
			if string(a.Plans[i].ID) == o.Name {
				return &a.Plans[i]
			}
		}
		s.Error = fmt.Sprintf("%.64q is no plan", o.Name)
		return nil
	}
	changed := false
	switch o.Do {
	case "status":
	case "plan", "check":
		for _, p := range o.Plans {
			p.Version = int(c.serial + 1)
			for _, problem := range maintenance.Check(p, a.Plans, v.Engines, v.Bounds, v.Now, maintenance.Times{Drain: 10000, Warm: 30000}) {
				s.Problems = append(s.Problems, fmt.Sprintf("plan %s: %s", p.ID, problem.Error()))
			}
			a.Plans = slices.DeleteFunc(a.Plans, func(q maintenance.Plan) bool { return q.ID == p.ID })
			a.Plans = append(a.Plans, p)
		}
		changed = o.Do == "plan" && s.Problems == nil
		if len(a.Plans) > mostPlans {
			s.Problems, changed = append(s.Problems, fmt.Sprintf("there would be over %d plans: withdraw some", mostPlans)), false
		}
		if s.Problems != nil && o.Do == "plan" {
			s.Error = "not taken over"
		}
	case "halt", "resume":
		if p := find(); p != nil {
			p.Halted, changed = o.Do == "halt", true
		}
	case "withdraw":
		if p := find(); p != nil {
			p.Over, changed = true, true
			busy := func(t maintenance.Task) bool {
				return t.Plan == p.ID && t.Step != maintenance.Done && t.Step != maintenance.Preparing
			}
			a.Tasks = slices.DeleteFunc(slices.Clone(a.Tasks), func(t maintenance.Task) bool { return t.Plan == p.ID && !busy(t) })
		}
	case "done":
		i := slices.IndexFunc(a.Tasks, func(t maintenance.Task) bool { return string(t.Engine) == o.Name && t.Step == maintenance.Working })
		if i < 0 {
			s.Error = fmt.Sprintf("%.64q is not being worked on", o.Name)
			break
		}
		hooked := map[string]uint64{}
		for k, n := range a.Hooked {
			hooked[k] = n
		}
		hooked["work "+o.Name], changed = a.Tasks[i].Number, true
		a.Hooked = hooked
	case "without":
		if !slices.Contains(a.Without, members.ID(o.Name)) && len(a.Without) < 256 {
			a.Without, changed = append(a.Without, members.ID(o.Name)), true
		}
	default:
		s.Error = fmt.Sprintf("%.64q is not known", o.Do)
	}
	if changed {
		c.put(h, a)
	}
	c.describe(h, a, &s)
	c.reply(h, o.from, o.ref, s)
}

func (c *Conductor) describe(h Context, a agreedMaintenance, s *MaintenanceStatus) {
	s.Conductor, s.Epoch, s.Serial, s.Plans = string(h.Self()), uint64(c.claim.Token), c.serial, a.Plans
	s.Tasks, s.Reasons, s.Forecasts = []TaskStatus{}, []string{}, []ForecastStatus{}
	v := c.view(h)
	for _, p := range a.Plans {
		if low, high, ok := maintenance.Forecast(v, p); ok && !p.Over && !p.Halted {
			s.Forecasts = append(s.Forecasts, ForecastStatus{string(p.ID), time.UnixMilli(int64(low)).UTC(), time.UnixMilli(int64(high)).UTC()})
		}
	}
	for _, t := range a.Tasks {
		x := TaskStatus{Engine: string(t.Engine), Plan: string(t.Plan), Step: t.Step.String(), SinceMS: int64(c.now() - t.At), Waits: c.waits[t.Engine]}
		if t.Step == maintenance.Draining {
			x.NotConfirmed = c.unconfirmed(h, t.Engine)
		}
		s.Tasks = append(s.Tasks, x)
	}
	slices.SortFunc(s.Tasks, func(a, b TaskStatus) int { return cmp.Compare(a.Engine, b.Engine) })
	for _, r := range c.reasons {
		if len(s.Reasons) < 100 {
			s.Reasons = append(s.Reasons, cmp.Or(string(r.Engine), "all")+" "+r.Why)
		}
	}
}

// errNoConductor is that nobody conducts, as far as this controller was told.
var errNoConductor = errors.New("nobody conducts maintenance now, as far as this controller knows")

// Order passes what an operator wants on to whoever conducts; the answer comes on the returned channel.
func (c *Conductor) Order(h Context, owner members.ID, o MaintenanceOrder) (chan MaintenanceStatus, error) {
	if owner == "" {
		return nil, errNoConductor
	}
	data, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	if len(c.refs) >= mostOrders {
		clear(c.refs) // whose askers have long gone
	}
	c.ref++
	reply := make(chan MaintenanceStatus, 1)
	c.refs[c.ref] = reply
	sayMaintenance(h, owner, confirmation{Order: &order{Ref: c.ref, JSON: data}})
	return reply, nil
}
