package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/links"
	"mintkeel/internal/store/disk/disktest"
)

// One controller can't use a version: its check or its apply fails or panics. It keeps the version before,
// reports the refusal, and takes the next version.
func TestVersionRefusedByOneControllerIsReported(t *testing.T) {
	t.Parallel()
	for name, breakHost := range map[string]func(*fakeHost){
		"check": func(h *fakeHost) {
			h.setCheck(func(d []byte) error {
				return refuseBadDocument(d, errors.New("can't use this"))
			})
		},
		"check panic": func(h *fakeHost) { h.setCheck(func(d []byte) error { return refuseBadDocument(d, nil) }) },
		"apply": func(h *fakeHost) {
			h.setApply(func(_ config.Version, d []byte) error { return refuseBadDocument(d, errors.New("can't use this")) })
		},
		"apply panic": func(h *fakeHost) {
			h.setApply(func(_ config.Version, d []byte) error {
				return refuseBadDocument(d, nil)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &logBuffer{}
			f := startConfigFleet(t, 4, func(f *configFleet) { f.log = slog.New(slog.NewTextHandler(log, nil)) })
			breakHost(f.hosts[3])
			before := f.put(0, []byte("good"))
			f.awaitInForce(before, []byte("good"), 0, 1, 2, 3)
			bad := f.put(0, []byte("bad"))
			f.awaitInForce(bad, []byte("bad"), 0, 1, 2)
			f.awaitStatus(1, "refused at one", func(s *config.Status) bool {
				return s.InForce == 3 && len(s.Rejected) == 1 && s.Rejected[0].ID == "n3" &&
					s.Rejected[0].Applied == before.Number &&
					strings.Contains(s.Rejected[0].Reason, "can't use this")
			})
			if !f.hosts[3].usesVersion(before.Number, []byte("good")) {
				t.Error("the version before is not in force")
			}
			if !log.contains("can't use this") {
				t.Error("it is not in the log")
			}
			f.stop(3) // what it refused is not what it starts with
			f.hosts[3] = &fakeHost{}
			breakHost(f.hosts[3])
			f.start(3)
			f.awaitInForce(before, []byte("good"), 3)
			next := f.put(0, []byte("better"))
			f.awaitInForce(next, []byte("better"), 0, 1, 2, 3)
			f.checkVersionsNeverDecrease()
		})
	}
}

// refuseBadDocument fails for the document "bad", by an error or by a panic.
func refuseBadDocument(document []byte, err error) error {
	if string(document) != "bad" {
		return nil
	}
	if err == nil {
		panic("can't use this")
	}
	return err
}

// The program can't take a version into use for a while and says that it may be tried again. The version
// comes into force once it can.
func TestRetryableApplyIsTriedAgain(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, nil)
	busy := fmt.Errorf("busy: %w", configuration.ErrRetryable)
	f.hosts[0].setApply(func(config.Version, []byte) error { return busy })
	v := f.put(0, []byte("x"))
	f.eventually("tried twice", func() bool { return f.hosts[0].callCount() >= 2 })
	f.hosts[0].setApply(nil)
	f.awaitInForce(v, []byte("x"), 0)
}

// A controller restarts with a version in its folder. That is in force before WaitConfig returns, also if
// no other controller can be reached, and versions agreed on meanwhile follow.
func TestRestartBeginsWithTheStoredVersion(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	f.stop(3)
	two := f.put(0, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2)
	f.start(3)
	if local := f.services[3].WaitConfig(context.Background()); !local.Confirmed || local.Number != 2 {
		t.Errorf("started as %+v", local)
	}
	if got := f.hosts[3].appliedNumbers(); !slices.Equal(got, []uint64{1, 1, 2}) {
		t.Errorf("applied %v", got)
	}
	for i := range f.services {
		f.stop(i)
	}
	f.start(3) // all alone
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if local := f.services[3].WaitConfig(ctx); local.Confirmed || local.Number != 2 {
		t.Errorf("alone, it tells %+v", local)
	}
	if !f.hosts[3].usesVersion(2, []byte("two")) || f.hosts[3].callCount() != 4 {
		t.Errorf("alone, it applied %v", f.hosts[3].appliedNumbers())
	}
	f.checkVersionsNeverDecrease()
}

// A controller starts with a stored version that it can't use any more. It goes on without, reports it, and
// takes the next version.
func TestUnusableStoredVersionIsTakenAgainLater(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	bad := f.put(0, []byte("bad"))
	f.awaitInForce(bad, []byte("bad"), 0, 1, 2, 3)
	f.stop(3)
	f.hosts[3] = &fakeHost{apply: func(_ config.Version, d []byte) error {
		return refuseBadDocument(d, errors.New("can't use this"))
	}}
	f.start(3)
	f.awaitStatus(0, "refused at one", func(s *config.Status) bool {
		return s.InForce == 3 && len(s.Rejected) == 1 && s.Rejected[0].ID == "n3" && s.Rejected[0].Applied == 0
	})
	if local := f.services[3].ConfigReadiness(); local.Number != 0 {
		t.Errorf("it tells %+v", local)
	}
	next := f.put(0, []byte("better"))
	f.awaitInForce(next, []byte("better"), 0, 1, 2, 3)
}

// A fleet is rebuilt as a new generation. The versions of the former one stay in force until there is one
// of the new generation, in which numbers begin anew.
func TestNewGenerationNumbersVersionsAnew(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	f.put(0, []byte("one"))
	old := f.put(0, []byte("two"))
	f.awaitInForce(old, []byte("two"), 0, 1, 2)
	for i := range f.services {
		f.stop(i)
		f.hosts[i] = &fakeHost{}
	}
	f.changeBlock = func(_ int, b *Block) { b.Generation = 2 }
	for i := range f.services {
		if err := os.Rename(f.configFolder(i), f.folder(i)+"-config"); err != nil {
			t.Fatal(err)
		}
		if err := os.RemoveAll(f.folder(i)); err != nil { // a new quorum
			t.Fatal(err)
		}
		if err := os.Mkdir(f.folder(i), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(f.folder(i)+"-config", f.configFolder(i)); err != nil {
			t.Fatal(err)
		}
		f.start(i)
	}
	f.awaitInForce(old, []byte("two"), 0, 1, 2)
	if local := f.services[0].WaitConfig(context.Background()); local.Number != 0 || local.Latest != 0 {
		t.Errorf("in the new generation: %+v", local)
	}
	next := f.put(1, []byte("three"))
	if next.Number != 1 {
		t.Errorf("the first of a generation is %+v", next)
	}
	f.awaitInForce(next, []byte("three"), 0, 1, 2)
}

// The session of a service ends by a failure and another begins, once with its folder emptied meanwhile.
// The version in force stays, is not applied again, and is what the next start begins with. Requests that
// wait get an error.
func TestVersionInForceOutlivesTheSession(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	for _, emptied := range []bool{false, true} {
		calls, restarts := f.hosts[3].callCount(), f.services[3].counts.restarts.Load()
		if emptied {
			for _, name := range configFiles(t, f.configFolder(3)) {
				if err := os.Remove(filepath.Join(f.configFolder(3), name)); err != nil {
					t.Fatal(err)
				}
			}
		}
		waiting := make(chan error, 1)
		go func() {
			_, err := f.services[3].client.Call(configuration.QueryTimeout, func(float64, uint64, *config.Replica) {})
			waiting <- err
		}()
		f.eventually("a request waits", func() bool {
			n, err := callSession(f.services[3], control.Timeout, func(s *session) int { return s.config.Waiting() })
			return err == nil && n == 1
		})
		f.services[3].post(func(*session) { panic("broken") })
		if err := <-waiting; !errors.Is(err, configuration.ErrRestarted) {
			t.Errorf("a request that waited is told %v", err)
		}
		f.eventually("begun anew", func() bool { return f.services[3].ConfigReadiness().Confirmed })
		if n := f.services[3].counts.restarts.Load(); n != restarts+1 {
			t.Errorf("begun anew %d times", n-restarts)
		}
		if local := f.services[3].ConfigReadiness(); local.Number != one.Number || f.hosts[3].callCount() != calls {
			t.Errorf("emptied %v: %+v after %d calls more", emptied, local, f.hosts[3].callCount()-calls)
		}
		if files := configFiles(t, f.configFolder(3)); len(files) != 2 {
			t.Errorf("emptied %v: the folder holds %v", emptied, files)
		}
	}
	two := f.put(3, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2, 3)
	f.checkVersionsNeverDecrease()
}

// The core should never ask for an older version than the one in force, or for another document of its
// number. If it does, the last check before Host.Apply refuses it.
func TestApplyRefusesOlderAndOtherVersions(t *testing.T) {
	t.Parallel()
	h := &fakeHost{}
	c := configuration.NewManager(h.host(), disktest.New())
	version := func(generation, number uint64, document string) configuration.Applied {
		return configuration.Applied{
			Generation: generation,
			Version:    config.Version{Number: number, Hash: config.HashOf([]byte(document))},
			Document:   []byte(document),
		}
	}
	for _, step := range []struct {
		next configuration.Applied
		want error
	}{
		{version(1, 5, "five"), nil},
		{version(1, 4, "four"), configuration.ErrOlderVersion},
		{version(1, 5, "other"), configuration.ErrConflictingDocument},
		{version(1, 5, "five"), nil},
		{version(1, 6, "six"), nil},
		{version(2, 1, "one"), nil},
	} {
		if err := c.Apply(context.Background(), step.next); !errors.Is(err, step.want) {
			t.Errorf("%d of generation %d: %v", step.next.Version.Number, step.next.Generation, err)
		}
	}
	if got := h.appliedNumbers(); !slices.Equal(got, []uint64{5, 6, 1}) {
		t.Errorf("applied %v", got)
	}
	c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Apply(ctx, version(2, 2, "two")); err == nil || h.callCount() != 3 {
		t.Errorf("applied after the end: %v", err)
	}
}

// The program takes long to take a version into use. One call is made at a time, the service goes on, and
// Close waits for a bounded time.
func TestSlowApplyIsCalledOnceAndCloseIsBounded(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	release := make(chan struct{})
	f.hosts[2].setApply(func(config.Version, []byte) error { <-release; return nil })
	one := f.put(0, []byte("one"))
	f.eventually("the host is asked", func() bool { return f.hosts[2].callCount() == 1 })
	two := f.put(2, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1)
	f.awaitStatus(2, "behind at one", func(s *config.Status) bool { return s.InForce == 2 })
	if n := f.hosts[2].callCount(); n != 1 {
		t.Errorf("%d calls at once", n)
	}
	closed := make(chan struct{})
	go func() { f.stop(2); close(closed) }()
	select {
	case <-closed:
	case <-time.After(configuration.ApplyGrace + 3*time.Second):
		t.Error("closing waits for the host")
	}
	close(release)
	f.eventually("the call has ended", func() bool { return f.hosts[2].usesVersion(one.Number, []byte("one")) })
	if n := f.hosts[2].callCount(); n != 1 {
		t.Errorf("%d calls, one of them after the end", n)
	}
}

// Another key, another fleet or another generation sends frames that tell of a later version. They change
// nothing.
func TestForeignFramesDoNotChangeConfiguration(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2)
	keys, err := frames.ReadKeys(filepath.Join(f.dir, "key"))
	if err != nil {
		t.Fatal(err)
	}
	forged := config.Summary{Number: 99, Hash: config.HashOf([]byte("forged")), Size: 6}
	payload, err := cbor.Marshal(node.Message{Config: &config.Message{Summary: &forged,
		ProposeReply: &config.ProposeReply{Result: config.Committed, Version: config.Version{Number: 99,
			Hash: forged.Hash, Size: 6}}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, hello := range map[string]frames.Hello{
		"another fleet":      {Fleet: "u", Generation: 1, From: "n1", Run: 1},
		"another generation": {Fleet: "t", Generation: 2, From: "n1", Run: 1},
		"another key":        {Fleet: "t", Generation: 1, From: "n1", Run: 1},
	} {
		foreignKeys := keys
		if name == "another key" {
			foreignKeys = frames.Keys{bytes.Repeat([]byte{9}, 32)}
		}
		foreign := links.New(hello, foreignKeys, links.DefaultBounds(), func(links.Received) {}, discardLog)
		for i, addr := range f.addrs {
			foreign.Send(members.ID(fmt.Sprint("n", i)), addr, payload)
		}
		for _, s := range f.services {
			f.eventually(name+" is turned away", func() bool { return rejectedConnections(s) > 0 })
		}
		foreign.Close()
	}
	two := f.put(1, []byte("two"))
	if two.Number != one.Number+1 {
		t.Errorf("agreed on %+v", two)
	}
	f.awaitInForce(two, []byte("two"), 0, 1, 2)
	for i, s := range f.services {
		f.eventually(fmt.Sprintf("n%d has heard of the second version, and of no later one", i), func() bool {
			return s.ConfigReadiness().Latest == two.Number
		})
	}
}

// rejectedConnections counts connections that were foreign or forged.
func rejectedConnections(s *Service) (n int64) {
	for _, a := range s.links.LogValue().Group() {
		if a.Key == "forged" || a.Key == "foreign" {
			n += a.Value.Int64()
		}
	}
	return n
}

// idleCost is what a fleet of three needs while nothing happens.
type idleCost struct{ goroutines, descriptors int }

func measureIdleCost(t *testing.T) idleCost {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors can't be counted here")
	}
	return idleCost{runtime.NumGoroutine(), len(open)}
}

// A fleet with a version in force needs no more goroutines and descriptors at rest than one that does not
// use configuration, but for the lock of each folder.
func TestConfigAtRest(t *testing.T) {
	var baseline idleCost
	t.Run("off", func(t *testing.T) {
		f := startConfigFleet(t, 3, func(f *configFleet) { f.noConfig = true })
		f.eventually("all know each other", func() bool { return f.allMembersAlive() })
		for range 100 { // connections come and go: the most within a while
			now := measureIdleCost(t)
			baseline.goroutines, baseline.descriptors = max(baseline.goroutines, now.goroutines), max(baseline.descriptors,
				now.descriptors)
			time.Sleep(20 * time.Millisecond)
		}
		f.logIdleCost("off", baseline)
	})
	t.Run("on", func(t *testing.T) {
		f := startConfigFleet(t, 3, nil)
		v := f.put(0, []byte("x"))
		f.awaitInForce(v, []byte("x"), 0, 1, 2)
		const locks = 3
		var now idleCost
		f.eventually("no more is needed", func() bool {
			now = measureIdleCost(t)
			return now.goroutines <= baseline.goroutines && now.descriptors <= baseline.descriptors+locks
		})
		f.logIdleCost("on", now)
	})
}
