package steps

import (
	"math"
	"math/rand"

	"mintkeel/router"
)

// Pressed is a controller whose processor can decide only so much, in virtual time: commands come at some times as many,
// wait in a queue of bounded length, and are taken in steps as the loop does it.
type Pressed struct {
	Seed    int64
	Times   float64 // what comes, over what can be decided
	Decide  float64 // ms of processor time that a command takes which is sent
	Away    float64 // and one that is turned away
	Refused float64 // and one that finds the queue full
	Length  float64 // ms
	Blind   bool    // the module is not told how long commands waited: the baseline
}

// Pressure is what became of the commands.
type Pressure struct {
	Commands               int
	InTime                 int // answered within the latency target
	Late                   int // answered after it
	Shed, Refused, Failed  int
	Missed                 int // without a final answer before the client timeout
	Longest                float64
	ShedAfter, AnswerAfter float64 // ms until they were told, on average
}

const (
	pressedTarget, pressedTimeout, pressedWork = 150.0, 1000.0, 20.0
	pressedQueue, pressedStep, pressedMore     = 1024, 512, 64 // as the loop's
)

type waiting struct {
	id          router.CommandID
	came, taken float64
	over        bool
}

// Play plays it.
func (p Pressed) Play(make_ Make) (out Pressure) {
	rng := rand.New(rand.NewSource(p.Seed))
	m := make_(p.Seed, router.Place{Controllers: 1}, []router.Kind{{Cores: 64, MemoryMB: memory}},
		[]router.Profile{{Effect: router.Replayable, Target: pressedTarget, Timeout: pressedTimeout, Threads: 1, LateShare: 0.3}}, nil,
		router.Allowed{Cancel: true, MaxSends: 3}, router.Guards{Round: 1, ColdShare: 1, ColdMultiple: 0})
	var entries []router.Entry
	for i := range 50 {
		entries = append(entries, router.Entry{Engine: router.EngineID(rune('A' + i)), Zone: "z"})
	}
	now, next, wake := 1e6, 1e6, math.Inf(1)
	m.Step(now, []router.Event{router.Listed{Whole: true, Entries: entries}})
	var queue []*waiting
	var ends []*waiting // that engines answer, in order, as all take as long
	open := map[router.CommandID]*waiting{}
	serial := router.CommandID(0)
	spacing := p.Decide / p.Times
	end := now + p.Length
	told := func(c *waiting, at float64) float64 {
		c.over = true
		delete(open, c.id)
		if at > c.came+pressedTimeout {
			out.Missed++
		}
		out.Longest = max(out.Longest, at-c.came)
		return at - c.came
	}
	answered, shed, sent := 0.0, 0.0, 0
	for now < end || len(queue) > 0 || len(open) > 0 {
		idle := math.Inf(1) // when something happens next
		if next < end {
			idle = next
		}
		if len(ends) > 0 {
			idle = min(idle, ends[0].taken+pressedWork)
		}
		if idle = min(idle, wake); idle > now && len(queue) == 0 && sent < pressedMore {
			now = idle
		}
		busy := 0.0
		for ; next <= now && next < end; next += rng.ExpFloat64() * spacing {
			serial++
			out.Commands++
			if len(queue) >= pressedQueue {
				out.Refused++
				busy += p.Refused
				continue
			}
			queue = append(queue, &waiting{id: serial, came: next})
		}
		var events []router.Event
		for len(ends) > 0 && ends[0].taken+pressedWork <= now {
			c := ends[0]
			ends = ends[1:]
			ev := router.Ended{ID: c.id, Took: pressedWork, Over: true}
			if c.over { // it was given up meanwhile
				ev.Outcome = router.Cancelled
			} else if answered += told(c, now); now-c.came <= pressedTarget {
				out.InTime++
			} else {
				out.Late++
			}
			events = append(events, ev)
		}
		room := pressedStep
		if sent >= pressedMore { // the module has more to send first
			room = 0
		}
		sent = 0
		for range min(room, len(queue)) {
			c := queue[0]
			queue = queue[1:]
			waited := now - c.came
			ev := router.Arrived{ID: c.id, Tenant: -1, Left: pressedTimeout - waited, Estimate: pressedWork}
			if !p.Blind {
				ev.Waited = waited
			}
			open[c.id] = c
			events = append(events, ev)
		}
		if wake <= now {
			wake = math.Inf(1)
		}
		for _, action := range m.Step(now, events) {
			switch a := action.(type) {
			case router.Send:
				busy += p.Decide
				sent++
				if c := open[a.ID]; c != nil {
					c.taken = now + busy
					ends = append(ends, c)
				}
			case router.Shed:
				busy += p.Away
				if c := open[a.ID]; c != nil {
					out.Shed++
					shed += told(c, now+busy)
				}
			case router.Fail:
				if c := open[a.ID]; c != nil {
					out.Failed++
					told(c, now+busy)
				}
			case router.Wake:
				wake = now + a.After
			}
		}
		now += busy
	}
	out.AnswerAfter = answered / float64(max(1, out.InTime+out.Late))
	out.ShedAfter = shed / float64(max(1, out.Shed))
	return out
}
