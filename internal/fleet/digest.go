package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/digest"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/restore"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// Digest is the lease whose holder gathers the statistics of controllers, so that one that starts with none can begin with
// them. Its holder asks a few controllers at a time, merges what they tell (core/fleet/digest), and gives the whole to the
// voters, which take it only from the latest holder. A newcomer asks them, once, and does not wait.
const Digest lease.Name = "digest"

const (
	gatherEach  = 5000.0 // ms between two rounds of asking
	gatherFrom  = 4      // controllers asked in a round: in a fleet of a thousand some sixty are heard within two minutes
	publishEach = 5000.0
	wantEach    = 500.0   // ms between two tries of a newcomer,
	wantFor     = 15000.0 // for so long after its start
	wantFrom    = 2       // controllers asked at a time
	digestAge   = 120000.0
	partRecords = 1000 // taken out of the loop in one go
	mostRecords = 6000 // that one controller tells
	mostWord    = 400 << 10
	givesEach   = 100.0 // ms between two digests that one controller gives away: newcomers spread
)

// digestMessage is what the jobs of the digest send each other; one of its fields is set.
type digestMessage struct {
	_        struct{} `cbor:",toarray"`
	Digest   bool     // tells it from messages of other jobs
	Gather   bool     // tell me what you have learned
	Want     bool     // I begin with nothing: tell me what the fleet knows
	Snapshot *statisticsSnapshot
}

type statisticsSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64
	Now      float64 // the teller's clock, by which the records' times are
	Whole    bool    // a digest, and not one controller's statistics
	Token    uint64
	Data     []byte
}

// Learner is what the digest needs of its controller.
type Learner struct {
	Source   memory.StatisticsSource
	Settings uint64                  // only those with the same speak of the same profiles
	Remember func(router.Statistics) // takes over what others knew; nil: nothing is missing
	Log      *slog.Logger
}

// digester is the job of the digest.
type digester struct {
	learner Learner
	rng     *rand.Rand
	began   float64

	gathered  digest.Collector
	owns      bool
	gatherAt  float64
	publishAt float64
	id        uint64

	kept    *statisticsSnapshot // the digest that this one keeps
	keptAt  time.Time
	wantAt  float64
	wanting bool
	givesAt float64

	mu    sync.Mutex
	busy  bool
	ready []byte // what this one has learned, taken out beside the core's goroutine
	asker members.ID
	ctx   context.Context
	end   context.CancelFunc
	group sync.WaitGroup
	now   func() float64
}

// NewDigest is the job of the digest.
func NewDigest(l Learner) Job {
	ctx, end := context.WithCancel(context.Background())
	return &digester{learner: l, rng: rand.New(rand.NewSource(int64(draw() >> 1))), wanting: l.Remember != nil, ctx: ctx, end: end,
		now: func() float64 { return float64(time.Now().UnixMicro()) / 1e3 }}
}

func (d *digester) Began(h Context, c lease.Grant) {
	if c.Name == Digest {
		d.owns, d.gatherAt, d.publishAt = true, h.Now(), h.Now()+gatherEach/2
		d.gathered = digest.Collector{}
	}
}

func (d *digester) Ended(c lease.Grant) {
	if c.Name == Digest {
		d.owns = false
	}
}

func (d *digester) VerdictReceived(node.EffectResponse) {}

func (d *digester) StateReceived(Context, node.Checkpoint) {}

func (d *digester) Close() {
	d.end()
	d.group.Wait()
}

func say(h Context, to members.ID, w digestMessage) {
	w.Digest = true
	if data, err := cbor.Marshal(w); err == nil {
		h.SendMessage(to, data)
	}
}

// others draws some that are there.
func (d *digester) others(h Context, n int, which func(members.Member) bool) (some []members.ID) {
	for _, m := range h.Members() {
		if m.State == members.Alive && m.ID != h.Self() && which(m) {
			some = append(some, m.ID)
		}
	}
	d.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(n, len(some))]
}

func (d *digester) Tick(h Context, now float64) {
	if d.began == 0 {
		d.began = now
	}
	d.mu.Lock()
	ready, asker := d.ready, d.asker
	d.ready = nil
	d.mu.Unlock()
	if ready != nil {
		t := &statisticsSnapshot{Settings: d.learner.Settings, Now: d.now(), Data: ready}
		if asker == h.Self() {
			d.took(asker, t)
		} else {
			say(h, asker, digestMessage{Snapshot: t})
		}
	}
	if d.owns && now >= d.gatherAt {
		d.gatherAt = now + gatherEach
		d.collect(h.Self())
		for _, id := range d.others(h, gatherFrom, func(members.Member) bool { return true }) {
			say(h, id, digestMessage{Gather: true})
		}
	}
	if d.owns && now >= d.publishAt {
		d.publishAt = now + publishEach
		d.publish(h)
	}
	if d.wanting && now >= d.wantAt {
		d.wantAt = now + wantEach
		if d.wanting = now < d.began+wantFor; d.wanting {
			keepers := h.Voters()
			for _, id := range d.others(h, wantFrom, func(m members.Member) bool { return slices.Contains(keepers, m.ID) }) {
				say(h, id, digestMessage{Want: true})
			}
		}
	}
}

// collect takes out what this controller has learned, in a goroutine of its own, as the loop is asked a part at a time.
func (d *digester) collect(asker members.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy || d.ready != nil || d.learner.Source == nil {
		return // who asks too often is not answered
	}
	d.busy, d.asker = true, asker
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
		defer cancel()
		var all router.Statistics
		part := memory.Part{More: true}
		var err error
		for err == nil && part.More && all.Len() < mostRecords {
			if part, err = d.learner.Source.Statistics(ctx, part.Next, partRecords); err == nil {
				all.Add(part.Statistics)
			}
		}
		data := pack(&all)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.busy = false; err == nil {
			d.ready = data
		}
	})
}

// pack is what was learned in at most so many bytes: table groups that are asked for least are left out.
func pack(l *router.Statistics) []byte {
	slices.SortStableFunc(l.Tables, func(a, b router.TableStatistics) int { return cmp.Compare(b.Demand, a.Demand) })
	for {
		data, err := memory.EncodeStatistics(l)
		if err != nil {
			return nil
		}
		if len(data) <= mostWord || len(l.Tables)+len(l.Engines) == 0 {
			return data
		}
		l.Tables, l.Engines = l.Tables[:len(l.Tables)/2], l.Engines[:len(l.Engines)*3/4]
	}
}

// publish gives the digest to who keeps it.
func (d *digester) publish(h Context) {
	now := d.now()
	if d.gathered.Len(now) == 0 {
		return
	}
	merged := d.gathered.Merge(now, restore.DefaultHalfLives())
	t := &statisticsSnapshot{Settings: d.learner.Settings, Now: now, Whole: true, Data: pack(&merged)}
	data, err := cbor.Marshal(t)
	if err != nil {
		return
	}
	for _, id := range h.Voters() {
		d.id++
		h.TryEffect(Digest, id, d.id, data)
	}
}

// EffectReceived keeps the digest of the latest holder.
func (d *digester) EffectReceived(_ Context, _ members.ID, e node.Effect) {
	if e.Grant.Name != Digest {
		return
	}
	var t statisticsSnapshot
	if err := frames.Decoder.Unmarshal(e.Data, &t); err != nil || len(t.Data) > mostWord {
		return
	}
	t.Token = uint64(e.Grant.Token)
	d.kept, d.keptAt = &t, time.Now()
}

func (d *digester) MessageReceived(h Context, from members.ID, data []byte) bool {
	var w digestMessage
	if err := frames.Decoder.Unmarshal(data, &w); err != nil || !w.Digest {
		return false
	}
	switch {
	case w.Gather:
		d.collect(from)
	case w.Want:
		if age := time.Since(d.keptAt); d.kept != nil && float64(age.Milliseconds()) < digestAge && h.Now() >= d.givesAt {
			d.givesAt = h.Now() + givesEach
			t := *d.kept
			t.Now += float64(age.Microseconds()) / 1e3 // as old as it is
			say(h, from, digestMessage{Snapshot: &t})
		}
	case w.Snapshot != nil && w.Snapshot.Whole:
		d.begin(w.Snapshot)
	case w.Snapshot != nil && d.owns:
		d.took(from, w.Snapshot)
	}
	return true
}

// took takes in what one controller has learned.
func (d *digester) took(from members.ID, t *statisticsSnapshot) {
	l, err := memory.DecodeStatistics(t.Data)
	if err != nil || t.Settings != d.learner.Settings {
		return
	}
	now := d.now()
	digest.ShiftTimes(&l, now-t.Now)
	d.gathered.Add(digest.Report{From: from, At: now, Statistics: l})
}

// begin takes over what the fleet knows, once.
func (d *digester) begin(t *statisticsSnapshot) {
	if !d.wanting || t.Settings != d.learner.Settings {
		return
	}
	l, err := memory.DecodeStatistics(t.Data)
	if err != nil {
		d.learner.Log.Warn("fleet: a digest can't be used", "why", err)
		return
	}
	d.wanting = false
	digest.ShiftTimes(&l, d.now()-t.Now)
	d.learner.Log.Info("fleet: begins with what the fleet knows", "records", l.Len(), "token", t.Token)
	d.learner.Remember(l)
}
