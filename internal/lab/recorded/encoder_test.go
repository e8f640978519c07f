package recorded

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"mintkeel/router"
)

// Tags of the encoded records. They must not change, because the recorded hashes depend on them.
const (
	tagStartAttempt  byte = 1
	tagCancelAttempt byte = 2
	tagReject        byte = 3
	tagFail          byte = 4
	tagSetTimer      byte = 5
	tagCheckHealth   byte = 6
	tagSubscribe     byte = 7
	tagStep          byte = 20
	tagStatistics    byte = 21
	tagEngines       byte = 22
)

// encoder hashes steps in an encoding of values alone, without names of types and fields, so that
// renaming these changes no hash.
type encoder struct {
	digest  *xxhash.Digest
	scratch []byte
}

func newEncoder() *encoder { return &encoder{digest: xxhash.New()} }

// sum returns the hash of everything flushed so far.
func (e *encoder) sum() uint64 { return e.digest.Sum64() }

// flush adds the pending encoded bytes to the hash.
func (e *encoder) flush() {
	e.digest.Write(e.scratch)
	e.scratch = e.scratch[:0]
}

func (e *encoder) tag(t byte) { e.scratch = append(e.scratch, t) }

func (e *encoder) integer(x int64) {
	e.scratch = binary.LittleEndian.AppendUint64(e.scratch, uint64(x))
}

// number encodes the bits of x; all NaNs are encoded alike.
func (e *encoder) number(x float64) {
	bits := math.Float64bits(x)
	if math.IsNaN(x) {
		bits = math.Float64bits(math.NaN())
	}
	e.scratch = binary.LittleEndian.AppendUint64(e.scratch, bits)
}

func (e *encoder) text(s string) {
	e.integer(int64(len(s)))
	e.scratch = append(e.scratch, s...)
}

// step encodes a step of one controller and its actions.
func (e *encoder) step(controller int, now float64, actions []router.Action) {
	e.tag(tagStep)
	e.integer(int64(controller))
	e.number(now)
	e.integer(int64(len(actions)))
	for _, action := range actions {
		e.action(action)
	}
	e.flush()
}

func (e *encoder) action(action router.Action) {
	switch a := action.(type) {
	case router.StartAttempt:
		e.tag(tagStartAttempt)
		e.integer(int64(a.ID))
		e.text(string(a.Engine))
		e.number(a.Deadline)
		e.number(a.StartBy)
	case router.CancelAttempt:
		e.tag(tagCancelAttempt)
		e.integer(int64(a.ID))
		e.integer(int64(a.Attempt))
	case router.Reject:
		e.tag(tagReject)
		e.integer(int64(a.ID))
		e.number(a.RetryAfter)
	case router.Fail:
		e.tag(tagFail)
		e.integer(int64(a.ID))
	case router.SetTimer:
		e.tag(tagSetTimer)
		e.number(a.After)
	case router.CheckHealth:
		e.tag(tagCheckHealth)
		e.text(string(a.Engine))
	case router.Subscribe:
		e.tag(tagSubscribe)
	default:
		panic("recorded: action of unknown type")
	}
}

func (e *encoder) weightedMean(w router.WeightedMean) {
	e.number(w.Mean)
	e.number(w.Weight)
}

// statistics encodes the exported statistics of a controller.
func (e *encoder) statistics(l router.Statistics) {
	e.tag(tagStatistics)
	e.integer(int64(len(l.Engines)))
	for _, x := range l.Engines {
		e.number(x.At)
		e.text(string(x.Engine))
		e.number(x.StartedAt)
		e.weightedMean(x.Slowdown)
		e.number(x.ThreadsPerCore)
		e.integer(int64(x.Outcomes))
		e.text(string(x.PoolLeader))
	}
	e.integer(int64(len(l.Tables)))
	for _, x := range l.Tables {
		e.number(x.At)
		e.integer(int64(x.Tables))
		e.number(x.Demand)
		e.number(x.MemoryTime)
		e.integer(int64(len(x.PoolLeaders)))
		for _, leader := range x.PoolLeaders {
			e.text(string(leader))
		}
	}
	e.integer(int64(len(l.Classes)))
	for _, x := range l.Classes {
		e.number(x.At)
		e.integer(int64(x.Class))
		e.number(x.FirstTryTimeout)
		e.number(x.UnloadedTime)
		e.weightedMean(x.WorkScale)
		e.weightedMean(x.MemoryScale)
	}
	e.integer(int64(len(l.Traffic)))
	for _, x := range l.Traffic {
		e.number(x.At)
		e.weightedMean(x.Share)
	}
	e.flush()
}

// engines encodes the present statuses of a controller's engines.
func (e *encoder) engines(list []router.EngineStatus) {
	e.tag(tagEngines)
	e.integer(int64(len(list)))
	for _, x := range list {
		e.text(string(x.Engine))
		e.integer(int64(x.State))
		e.integer(int64(x.ListedState))
		e.text(string(x.Zone))
		e.integer(int64(x.Kind))
		e.number(x.StartedAt)
		e.number(x.WarmAt)
		e.number(x.Cores)
		e.number(x.Load)
		e.integer(int64(x.Attempts))
		e.integer(int64(len(x.Tables)))
		for _, t := range x.Tables {
			e.integer(int64(t.Tables))
			e.number(t.Demand)
			e.integer(int64(t.OtherEngines))
		}
	}
	e.flush()
}

// countActions counts the features of actions. An attempt of a query that had one before is a retry;
// one started while another is in flight is also a hedged request.
func (m *module) countActions(actions []router.Action) {
	c := &m.recording.counts
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			c.add(attemptStarted, true)
			c.add(attemptWithStartBy, a.StartBy > 0)
			n := m.attempts[a.ID]
			c.add(retry, n.started > 0)
			c.add(hedgedRequest, n.running > 0)
			m.attempts[a.ID] = attempts{started: n.started + 1, running: n.running + 1}
		case router.CancelAttempt:
			c.add(attemptCancelled, true)
		case router.Reject:
			c.add(queryRejected, true)
			c.add(queryRejectedWithRetryAfter, a.RetryAfter > 0)
		case router.Fail:
			c.add(queryFailed, true)
		case router.SetTimer:
			c.add(timerSet, true)
		case router.CheckHealth:
			c.add(healthCheckStarted, true)
		case router.Subscribe:
			c.add(listSubscribed, true)
		}
	}
}
