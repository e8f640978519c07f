package fleet

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	fleetconfiguration "mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/lab/fleet/configuration"
)

// configRig is the part of a rig that concerns the fleet's configuration. It records what the rig observes with its time;
// at the end the checker gets these records together with those of the daemons' logs.
type configRig struct {
	checker   *configuration.Checker
	events    []configEvent
	proposals int
	newest    uint64 // the newest version that an operator knows of

	latest   config.Version       // the newest version of all histories that were read
	unusable map[config.Hash]bool // documents that a controller with another machine kind can't use, by shortened hash
}

// corruptShare is the share of writes that have a bit flipped while the fault Corrupt lasts.
const corruptShare = 0.1

// otherKind is the machine kind in the settings of the controller that can't use documents naming usualKind.
const otherKind = "big"

// hasOtherKind reports whether a controller's settings name another machine kind than the others'. Only the last controller
// of a fleet with a configuration has one, if it is no voter.
func (r *rig) hasOtherKind(n *machineProc) bool {
	return r.Config && r.Nodes > r.Voters && n.number == r.Nodes-1
}

// configEvent is an observation that the checker gets at the end, in the order of time.
type configEvent struct {
	at    time.Time
	check func(c *configuration.Checker, now float64)
}

// ConfigurationScene returns a scene of daemons whose settings have a config block, with a script drawn from a seed.
func ConfigurationScene(mintkeel string, seed int64, nodes, faults int) Scene {
	s := UsualScene(mintkeel, seed, nodes, faults)
	s.Config, s.Leases, s.Rate = true, 1, 1
	rng := rand.New(rand.NewSource(seed * 17))
	for _, f := range drawOperations(rng, nodes, 12000) {
		switch f.Kind {
		case KillLeader, Replay: // the rig can't cause these faults
			f.Kind, f.For = Put, 0
		}
		f.Amount = min(f.Amount, config.MaxDocument)
		s.Script = append(s.Script, f)
	}
	slices.SortStableFunc(s.Script, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// initConfig sets up the check of the configuration.
func (r *rig) initConfig() {
	var ids []members.ID
	for i := range r.Nodes {
		ids = append(ids, members.ID(fmt.Sprintf("n%d", i)))
	}
	r.config = &configRig{checker: configuration.NewChecker(ids), unusable: map[config.Hash]bool{}}
	r.config.checker.RunsUnknown = true
}

// recordEvent records an observation with its time, for the checker.
func (r *rig) recordEvent(check func(c *configuration.Checker, now float64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.events = append(r.config.events, configEvent{time.Now(), check})
}

// startMarker begins the line that the rig writes into a daemon's log before each start.
const startMarker = "=== start"

// markStart writes the start of a run into a daemon's log, with the generation of its folder.
func (r *rig) markStart(n *machineProc, log *os.File) {
	if r.config != nil {
		n.runs++
		fmt.Fprintf(log, "%s %d %d %d\n", startMarker, n.runs, n.folderGeneration, time.Now().UnixNano())
	}
}

// configFault runs the script's entries that concern the configuration.
func (r *rig) configFault(f Fault) {
	if r.config == nil {
		return
	}
	n := r.nodes[f.A%len(r.nodes)]
	expect := r.knownVersion(n)
	switch f.Kind {
	case Put:
		if f.B%7 == 0 && expect > 0 {
			expect--
		}
		r.putConfig(n, expect, int(f.Amount), f.N >= 0)
	case PutTwice:
		r.faults.Go(func() { r.putConfig(r.nodes[f.B%len(r.nodes)], expect, int(f.Amount/2), false) })
		r.putConfig(n, expect, int(f.Amount), f.N >= 0)
	case RollBack:
		if expect >= 2 {
			back := expect - min(expect-1, uint64(1+f.B%4))
			r.changeConfig(n, fleetconfiguration.Request{Action: fleetconfiguration.ActionRollback, Number: back, Expect: &expect}, nil)
		}
	case AskStatus:
		r.configStatus(n)
	case Corrupt:
		r.sw.Corrupt(corruptShare, time.Now().Add(time.Duration(f.For*1e6)))
	}
}

// knownVersion returns the newest version that an operator knows of who has asked this controller, or others before.
func (r *rig) knownVersion(n *machineProc) uint64 {
	var latest config.Version
	if a, err := r.askConfig(n, fleetconfiguration.Request{Action: fleetconfiguration.ActionHistory}); err == nil && len(a.Versions) > 0 {
		latest = a.Versions[len(a.Versions)-1]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest.Number > r.config.latest.Number {
		r.config.latest = latest
	}
	r.config.newest = max(r.config.newest, latest.Number)
	return r.config.newest
}

// askConfig sends a request about the configuration to a controller, which may be down.
func (r *rig) askConfig(n *machineProc, request fleetconfiguration.Request) (*fleetconfiguration.Answer, error) {
	ctx, cancel := context.WithTimeout(r.ctx, 30*time.Second)
	defer cancel()
	s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "config", Config: &request})
	if err != nil {
		return nil, err
	}
	if s.Config == nil {
		return nil, errors.New("no answer about the configuration")
	}
	return s.Config, nil
}

// putConfig has an operator put a document of a size in bytes at a controller. An unusable document names a machine kind
// that the settings of the controller with otherKind lack.
func (r *rig) putConfig(n *machineProc, expect uint64, size int, unusable bool) {
	r.mu.Lock()
	r.config.proposals++
	text := fmt.Sprintf("# configuration %d\nlog {\n  burst = 1000\n}\n", r.config.proposals)
	r.mu.Unlock()
	if unusable {
		text += fmt.Sprintf("rule \"usual\" {\n  kinds = [%q]\n}\n", usualKind)
	}
	if pad := size - len(text); pad > 0 {
		text += "#" + strings.Repeat("x", pad-1)
	}
	if unusable {
		r.mu.Lock()
		r.config.unusable[shortened(config.HashOf([]byte(text)))] = true
		r.mu.Unlock()
	}
	r.changeConfig(n, fleetconfiguration.Request{Action: fleetconfiguration.ActionPut, Document: []byte(text), Expect: &expect}, []byte(text))
}

// changeConfig has an operator ask for a change, and records the proposal and its result. A rollback has a nil document: it
// proposes the document of the version that it goes back to.
func (r *rig) changeConfig(n *machineProc, request fleetconfiguration.Request, document []byte) {
	r.mu.Lock()
	r.config.proposals++
	reason := fmt.Sprintf("change %d", r.config.proposals)
	r.mu.Unlock()
	request.Author, request.Reason = "rig", reason
	back, expect := request.Number, *request.Expect
	r.recordEvent(func(c *configuration.Checker, _ float64) {
		hash := shortened(config.HashOf(document))
		if document == nil {
			hash, _ = c.Version(back)
		}
		c.Proposed(configuration.Proposal{Reason: reason, Expect: expect, Hash: hash})
	})
	r.logf("%s is asked for %s after version %d", n.name, reason, expect)
	a, err := r.askConfig(n, request)
	if err != nil {
		r.logf("%s: %v", reason, err)
		return
	}
	o := config.ProposalResult{Result: resultOf(a.Result), Reason: a.Reason}
	if a.Version != nil {
		o.Version = *a.Version
		o.Version.Hash = shortened(o.Version.Hash)
	}
	r.logf("%s is %s: %s, version %d", reason, a.Result, a.Reason, o.Version.Number)
	r.recordEvent(func(c *configuration.Checker, now float64) { c.Concluded(now, reason, o) })
}

func resultOf(text string) config.Result {
	switch text {
	case fleetconfiguration.ResultAgreed:
		return config.Committed
	case fleetconfiguration.ResultLost:
		return config.Conflict
	case fleetconfiguration.ResultRefused:
		return config.Rejected
	}
	return config.Unknown
}

// shortened returns the part of a hash that the daemons' logs contain.
func shortened(h config.Hash) (short config.Hash) {
	copy(short[:], h[:loggedHash])
	return short
}

const loggedHash = 6 // bytes of a hash in a log line

// configStatus asks a controller for the status, records it and returns it, or nil if there is none.
func (r *rig) configStatus(n *machineProc) *config.Status {
	a, err := r.askConfig(n, fleetconfiguration.Request{Action: fleetconfiguration.ActionStatus})
	if err != nil || a.Status == nil {
		return nil
	}
	s := *a.Status
	s.Latest.Hash = shortened(s.Latest.Hash)
	r.recordEvent(func(c *configuration.Checker, now float64) { c.StatusMade(now, &s, nil) })
	return &s
}

// settleConfig waits until every controller reports the newest version in force, then puts one more version and waits for a
// status that reports it in force at all. These reports are checked against the controllers' logs at the end.
func (r *rig) settleConfig() {
	r.faults.Wait() // a later put of the script would supersede the version that is waited for
	began := time.Now()
	r.awaitConfig("after the last heal", func() string { return r.configNotInForce(0) })
	r.report.ConfigCatchUp = time.Since(began)
	last := r.nodes[len(r.nodes)-1]
	if r.hasOtherKind(last) {
		r.settleUnusable()
	}
	began = time.Now()
	before := r.knownVersion(last)
	r.awaitConfig("after a put when no fault was left", func() string {
		if r.knownVersion(last) == before {
			r.putConfig(last, before, 4096, false)
		}
		return r.configNotInForce(before + 1)
	})
	r.report.ConfigAfterPut = time.Since(began)
	r.awaitConfig("after all had the newest version in force", func() string {
		s := r.configStatus(r.nodes[0])
		if s == nil || s.InForce != r.Nodes || s.Members != r.Nodes {
			return fmt.Sprintf("the status is %+v", s)
		}
		return ""
	})
	r.recordFinalHistory()
}

// settleUnusable puts a version that the last controller can't use, and waits until it is in force at all others and a
// status reports one controller that refuses it.
func (r *rig) settleUnusable() {
	voter := r.nodes[0]
	r.awaitConfig("after a put that one can't use", func() string {
		newest := r.knownVersion(voter)
		if !r.latestIsUnusable() { // a put of the script may have been agreed on in between
			r.putConfig(voter, newest, 4096, true)
			return "the newest version is usable at all controllers"
		}
		return r.configNotInForce(newest)
	})
	r.awaitConfig("after a version that one can't use was in force at all others", func() string {
		s := r.configStatus(voter)
		if s == nil || s.InForce != r.Nodes-1 || len(s.Rejected) != 1 {
			return fmt.Sprintf("the status is %+v", s)
		}
		return ""
	})
}

// awaitConfig waits until nothing is missing, for settleBound at most.
func (r *rig) awaitConfig(since string, missing func() string) {
	const slack = 2 * time.Second // for the rig's own requests
	end := time.Now().Add(settleBound*time.Millisecond + slack)
	for r.ctx.Err() == nil {
		why := missing()
		if why == "" {
			return
		}
		if time.Now().After(end) {
			r.fail("%.0f s %s: %s", settleBound/1000, since, why)
			return
		}
		r.sleep(100 * time.Millisecond)
	}
}

// configNotInForce returns a controller that has neither the newest version, at least the given one, in force nor may refuse
// it; empty: there is none.
func (r *rig) configNotInForce(minimum uint64) string {
	newest := max(r.knownVersion(r.nodes[0]), minimum)
	for _, n := range r.nodes {
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "config", Config: &fleetconfiguration.Request{Action: fleetconfiguration.ActionHistory}})
		cancel()
		switch {
		case err != nil:
			return fmt.Sprintf("%s: %v", n.name, err)
		case s.Config != nil && r.mayRefuse(n, newest):
		case s.Config == nil || s.Config.Local.Number < newest:
			return fmt.Sprintf("%s has %+v, version %d is agreed on", n.name, s.Config.Local, newest)
		}
	}
	return ""
}

// mayRefuse reports whether a controller can't use the newest version.
func (r *rig) mayRefuse(n *machineProc, newest uint64) bool {
	r.mu.Lock()
	latest := r.config.latest.Number
	r.mu.Unlock()
	return r.hasOtherKind(n) && latest == newest && r.latestIsUnusable()
}

// latestIsUnusable reports whether the controller with another machine kind can't use the newest version that was read.
func (r *rig) latestIsUnusable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.unusable[shortened(r.config.latest.Hash)]
}

// recordFinalHistory records the history that the leader reports at the end.
func (r *rig) recordFinalHistory() {
	a, err := r.askConfig(r.nodes[0], fleetconfiguration.Request{Action: fleetconfiguration.ActionHistory})
	if err != nil {
		r.fail("no history at the end: %v", err)
		return
	}
	versions := slices.Clone(a.Versions)
	for i := range versions {
		versions[i].Hash = shortened(versions[i].Hash)
	}
	r.recordEvent(func(c *configuration.Checker, now float64) { c.Survived(now, "the history", versions) })
}

// inForceLine matches the line that a daemon logs when a version comes into force.
var inForceLine = regexp.MustCompile(`^(\S+) INF configuration version in force .*\bhash=([0-9a-f]{12}) .*\bversion=(\d+)`)

// readConfigLogs records the versions that the daemons applied, from their logs.
func (r *rig) readConfigLogs() {
	for _, n := range r.nodes {
		text, err := os.ReadFile(filepath.Join(n.dir, "log"))
		if err != nil {
			r.fail("log of %s: %v", n.name, err)
			continue
		}
		r.readConfigLog(n, string(text))
	}
}

func (r *rig) readConfigLog(n *machineProc, text string) {
	run, folder := 0, 0
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, startMarker) {
			words := strings.Fields(line)
			run, _ = strconv.Atoi(words[2])
			folder, _ = strconv.Atoi(words[3])
			continue
		}
		if strings.Contains(line, "configuration version refused") {
			r.report.ConfigRefused++
		}
		found := inForceLine.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, found[1])
		hash, _ := hex.DecodeString(found[2])
		number, _ := strconv.ParseUint(found[3], 10, 64)
		if err != nil || number == 0 {
			r.fail("%s logged %q, which can't be read: %v", n.name, line, err)
			return
		}
		v := config.Version{Number: number}
		copy(v.Hash[:], hash)
		if r.hasOtherKind(n) && r.config.unusable[v.Hash] {
			r.fail("%s applied version %d, which it can't use", n.name, number)
			return
		}
		who := configuration.Incarnation{Controller: members.ID(n.name), Run: uint64(run)}
		on := configuration.Folder{Controller: members.ID(n.name), Generation: folder}
		r.config.events = append(r.config.events, configEvent{at, func(c *configuration.Checker, now float64) { c.Applied(now, who, on, v) }})
		r.report.ConfigApplied++
	}
}

// checkConfigEvents passes all recorded observations to the checker, in the order of time.
func (r *rig) checkConfigEvents() {
	r.readConfigLogs()
	slices.SortStableFunc(r.config.events, func(a, b configEvent) int { return a.at.Compare(b.at) })
	for _, e := range r.config.events {
		e.check(r.config.checker, float64(e.at.Sub(r.began))/1e6)
	}
	c := r.config.checker
	r.report.ConfigAgreed, r.report.ConfigProposals, r.report.ConfigStatuses = c.Agreed, c.Proposals, c.Statuses
	if c.Broken != "" {
		r.fail("%s", c.Broken)
	}
}

// copyFolder copies a controller's folder without locks and sockets, while the controller may write to it. It copies the
// records first, and the current version before the documents.
func copyFolder(from, to string) error {
	if err := copyRecords(from, to); err != nil {
		return err
	}
	documents := filepath.Join(from, "config")
	files, err := os.ReadDir(documents)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := os.Mkdir(filepath.Join(to, "config"), 0o700); err != nil {
		return err
	}
	slices.SortFunc(files, func(a, b os.DirEntry) int { return cmp.Compare(a.Name(), b.Name()) }) // "current" is ahead of "document-"
	for _, f := range files {
		if f.Name() == "lock" || strings.HasSuffix(f.Name(), ".new") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(documents, f.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, "config", f.Name()), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
