package config

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

var (
	histories    = flag.Int("histories", 30, "number of random fault histories that TestDrawnHistories runs")
	firstHistory = flag.Int64("first-history", 0, "seed of the first history")
)

// TestDrawnHistories simulates random histories of faults. The simulation checks the invariants
// after each step. At the end all faults are ended, and the latest version must come into force
// everywhere in time.
func TestDrawnHistories(t *testing.T) {
	versions := 0
	for i := range int64(*histories) {
		seed := *firstHistory + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newFaultHistory(t, seed)
			h.run()
			h.endFaults()
			versions += len(h.fleet.history())
		})
	}
	t.Logf("%d versions in %d histories", versions, *histories)
}

// faultHistory is a random history of faults.
type faultHistory struct {
	t         *testing.T
	fleet     *fleet
	copies    map[*controller]*folder // older copies of folders
	documents [][]byte
	eventLog  []string
}

// newFaultHistory returns the history drawn by a seed.
func newFaultHistory(t *testing.T, seed int64) *faultHistory {
	f := newFleet(t, seed, 9+int(seed%5)*6, 3+2*int(seed%3))
	f.lossRate = []float64{0, 0.02, 0.1}[seed%3]
	h := &faultHistory{t: t, fleet: f, copies: map[*controller]*folder{}}
	for i := range 6 {
		size := []int{1, 300, 5000, 40000, 100000, 70000}[i]
		h.documents = append(h.documents, randomDocument(size, seed*100+int64(i)))
	}
	h.documents = append(h.documents, []byte(fmt.Sprint("odd ", seed)))
	for i, c := range f.all {
		if i%10 == 9 {
			c.checkDocument = func(document []byte) error {
				if strings.HasPrefix(string(document), "odd") {
					return errUnknownField
				}
				return nil
			}
		}
	}
	return h
}

// record adds an event to the log that is shown if the test fails.
func (h *faultHistory) record(format string, args ...any) {
	h.eventLog = append(h.eventLog, fmt.Sprintf("%.0f ms: ", h.fleet.now)+fmt.Sprintf(format, args...))
}

// run simulates the faults.
func (h *faultHistory) run() {
	f := h.fleet
	defer func() {
		if h.t.Failed() {
			h.t.Log(strings.Join(h.eventLog, "\n"))
		}
	}()
	f.runFor(1500)
	for range 60 {
		h.injectFault()
		f.runFor(f.rng.Float64() * 1500)
		h.elect()
	}
}

// injectFault causes or ends a random fault, or has a document proposed.
func (h *faultHistory) injectFault() {
	f := h.fleet
	c := f.all[f.rng.Intn(len(f.all))]
	switch f.rng.Intn(12) {
	case 0, 1, 2, 3, 4:
		if c.up {
			expect := c.replica.Readiness().Latest
			h.record("%s proposes after version %d", c.id, expect)
			f.propose(c, h.documents[f.rng.Intn(len(h.documents))], expect)
		}
	case 5:
		if c.up && h.voterMayStop(c) {
			h.record("%s is killed", c.id)
			f.kill(c)
		}
	case 6, 7:
		h.restart()
	case 8:
		h.record("%s: the folder is copied", c.id)
		h.copies[c] = c.folder.copy()
	case 9:
		side := f.rng.Intn(2)
		h.record("(drawn: %s) some controllers are moved to partition %d", c.id, side)
		f.partition(f.all[f.rng.Intn(len(f.all)):], side)
	case 10:
		c.diskFull = !c.diskFull && !c.voter
		c.corrupt = !c.corrupt && f.rng.Intn(4) == 0
		h.record("%s: disk full %v, corrupt %v", c.id, c.diskFull, c.corrupt)
	case 11:
		if f.leader != "" {
			h.record("%s stops leading", f.leader)
			f.setLeader("")
		}
	}
	if f.rng.Intn(4) == 0 && f.leader != "" && f.byID[f.leader].up {
		f.query(f.byID[f.leader], QueryStatus)
	}
}

// voterMayStop reports whether a controller may stop: a majority of the voters must remain.
func (h *faultHistory) voterMayStop(c *controller) bool {
	up := 0
	for _, id := range h.fleet.voters {
		if h.fleet.byID[id].up {
			up++
		}
	}
	return !c.voter || 2*(up-1) > len(h.fleet.voters)
}

// restart starts a stopped controller, perhaps from an older copy of its folder. Of the voters only
// the last one may lose data in this way.
func (h *faultHistory) restart() {
	f := h.fleet
	for _, c := range f.all {
		if c.up {
			continue
		}
		old := h.copies[c]
		if old != nil && f.rng.Intn(2) == 0 && (!c.voter || c.id == f.voters[len(f.voters)-1]) {
			h.record("%s starts on an older copy of its folder, version %d for %d",
				c.id, old.current.Number, c.folder.current.Number)
			c.folder = old.copy()
		} else {
			h.record("%s starts", c.id)
		}
		f.start(c)
		return
	}
}

// elect makes a random voter that reaches a majority the leader, if none leads.
func (h *faultHistory) elect() {
	f := h.fleet
	if f.leader != "" && f.byID[f.leader].up && f.majority(f.byID[f.leader]) {
		return
	}
	var able []*controller
	for _, id := range f.voters {
		if c := f.byID[id]; c.Voting() && f.majority(c) {
			able = append(able, c)
		}
	}
	if len(able) > 0 {
		c := able[f.rng.Intn(len(able))]
		h.record("%s leads", c.id)
		f.setLeader(c.id)
	}
}

// endFaults ends all faults, and expects the latest version to come into force everywhere in time and
// the status to show it.
func (h *faultHistory) endFaults() {
	f := h.fleet
	f.lossRate = 0
	f.partition(f.all, 0)
	for _, c := range f.all {
		c.diskFull, c.corrupt = false, false
		if !c.up {
			f.start(c)
		}
	}
	f.runFor(proposeTimeout + 1000) // until all proposals have ended
	h.elect()
	if f.leader == "" {
		h.t.Fatal("no voter can be made the leader after all faults have ended")
	}
	latest := f.agreed.Newest()
	rejecting := func(c *controller) bool {
		return c.checkDocument != nil && c.replica.application.rejected.Number == latest
	}
	took := f.runUntil(maxStoreRetry+1000, func() bool {
		for _, c := range f.all {
			if c.replica.Current().Number != latest && !rejecting(c) {
				return false
			}
		}
		return true
	})
	if took < 0 {
		for _, c := range f.all {
			if c.replica.Current().Number != latest {
				h.t.Errorf("%s has version %d in force, want %d: target %+v",
					c.id, c.replica.Current().Number, latest, c.replica.target)
			}
		}
		h.t.Fatalf("the latest version is not in force everywhere in time; events:\n%s",
			strings.Join(h.eventLog, "\n"))
	}
	f.runFor(2*reportInterval + 2000)
	s := f.status(h.t, f.byID[f.leader])
	if latest > 0 && s.InForce+len(s.Rejected) != len(f.all) {
		h.t.Errorf("got status %+v, want each controller in force or rejected", s)
	}
	for _, c := range f.all {
		if !c.replica.Readiness().Confirmed {
			h.t.Errorf("%s: got %+v, want it confirmed", c.id, c.replica.Readiness())
		}
	}
}
