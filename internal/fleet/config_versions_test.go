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

// A controller whose check or apply of a version fails or panics must keep the previous version in force,
// report the rejection, and apply the next version.
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
			f.awaitStatus(1, "n3 reports that it rejected the version", func(s *config.Status) bool {
				return s.InForce == 3 && len(s.Rejected) == 1 && s.Rejected[0].ID == "n3" &&
					s.Rejected[0].Applied == before.Number &&
					strings.Contains(s.Rejected[0].Reason, "can't use this")
			})
			if !f.hosts[3].usesVersion(before.Number, []byte("good")) {
				t.Error("the previous version is not in force at n3")
			}
			if !log.contains("can't use this") {
				t.Error("the log lacks the reason for the rejection")
			}
			f.stop(3) // a restart must begin with the previous version
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

// refuseBadDocument returns the error for the document "bad", or panics if the error is nil.
func refuseBadDocument(document []byte, err error) error {
	if string(document) != "bad" {
		return nil
	}
	if err == nil {
		panic("can't use this")
	}
	return err
}

// A version whose apply fails with ErrRetryable must be applied again until it succeeds.
func TestRetryableApplyIsTriedAgain(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, nil)
	busy := fmt.Errorf("busy: %w", configuration.ErrRetryable)
	f.hosts[0].setApply(func(config.Version, []byte) error { return busy })
	v := f.put(0, []byte("x"))
	f.eventually("Apply is called twice", func() bool { return f.hosts[0].callCount() >= 2 })
	f.hosts[0].setApply(nil)
	f.awaitInForce(v, []byte("x"), 0)
}

// After a restart the version stored in the folder must be in force before WaitConfig returns, even if no
// other controller is reachable, and versions agreed on meanwhile must follow.
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
		t.Errorf("after the restart: got %+v, want version 2, confirmed", local)
	}
	if got := f.hosts[3].appliedNumbers(); !slices.Equal(got, []uint64{1, 1, 2}) {
		t.Errorf("applied versions %v, want [1 1 2]", got)
	}
	for i := range f.services {
		f.stop(i)
	}
	f.start(3) // without any other controller
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if local := f.services[3].WaitConfig(ctx); local.Confirmed || local.Number != 2 {
		t.Errorf("without other controllers: got %+v, want version 2, not confirmed", local)
	}
	if !f.hosts[3].usesVersion(2, []byte("two")) || f.hosts[3].callCount() != 4 {
		t.Errorf("without other controllers: applied versions %v, want [1 1 2 2]", f.hosts[3].appliedNumbers())
	}
	f.checkVersionsNeverDecrease()
}

// A controller whose stored version can't be applied at a start must run without one, report the rejection,
// and apply the next version.
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
	f.awaitStatus(0, "n3 reports that it rejected the version", func(s *config.Status) bool {
		return s.InForce == 3 && len(s.Rejected) == 1 && s.Rejected[0].ID == "n3" && s.Rejected[0].Applied == 0
	})
	if local := f.services[3].ConfigReadiness(); local.Number != 0 {
		t.Errorf("readiness: got %+v, want no version in force", local)
	}
	next := f.put(0, []byte("better"))
	f.awaitInForce(next, []byte("better"), 0, 1, 2, 3)
}

// After a fleet is rebuilt as a new generation, the version of the old generation must stay in force until
// the new generation has one. Version numbers start again at 1.
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
		t.Errorf("readiness in the new generation: got %+v, want no version", local)
	}
	next := f.put(1, []byte("three"))
	if next.Number != 1 {
		t.Errorf("first version of the new generation: got %+v, want number 1", next)
	}
	f.awaitInForce(next, []byte("three"), 0, 1, 2)
}

// When a session fails and another one starts, even with an emptied folder, the version in force must stay in
// force without being applied again, and must be stored for the next start. Waiting requests get an error.
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
			t.Errorf("waiting request: got error %v, want ErrRestarted", err)
		}
		f.eventually("the new session confirms its version", func() bool { return f.services[3].ConfigReadiness().Confirmed })
		if n := f.services[3].counts.restarts.Load(); n != restarts+1 {
			t.Errorf("%d sessions failed, want 1", n-restarts)
		}
		if local := f.services[3].ConfigReadiness(); local.Number != one.Number || f.hosts[3].callCount() != calls {
			t.Errorf("folder emptied: %v: got %+v and %d more calls of Apply, want version 1 and none", emptied, local,
				f.hosts[3].callCount()-calls)
		}
		if files := configFiles(t, f.configFolder(3)); len(files) != 2 {
			t.Errorf("folder emptied: %v: the folder has %v, want a document and the record", emptied, files)
		}
	}
	two := f.put(3, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1, 2, 3)
	f.checkVersionsNeverDecrease()
}

// Manager.Apply must refuse an older version than the one in force, or another document of its number, and
// must not call Host.Apply for it. The core should never request that; this is the last check.
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
			t.Errorf("version %d of generation %d: got the wrong error %v", step.next.Version.Number,
				step.next.Generation, err)
		}
	}
	if got := h.appliedNumbers(); !slices.Equal(got, []uint64{5, 6, 1}) {
		t.Errorf("applied versions %v, want [5 6 1]", got)
	}
	c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Apply(ctx, version(2, 2, "two")); err == nil || h.callCount() != 3 {
		t.Errorf("Apply after Close: got error %v, want an error and no further call of the host", err)
	}
}

// While Host.Apply blocks, no second call may be made, the session must go on, and Close must wait for a
// bounded time.
func TestSlowApplyIsCalledOnceAndCloseIsBounded(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	release := make(chan struct{})
	f.hosts[2].setApply(func(config.Version, []byte) error { <-release; return nil })
	one := f.put(0, []byte("one"))
	f.eventually("Apply is called", func() bool { return f.hosts[2].callCount() == 1 })
	two := f.put(2, []byte("two"))
	f.awaitInForce(two, []byte("two"), 0, 1)
	f.awaitStatus(2, "the version is in force at the 2 others", func(s *config.Status) bool { return s.InForce == 2 })
	if n := f.hosts[2].callCount(); n != 1 {
		t.Errorf("%d calls of Apply while the first one blocks, want 1", n)
	}
	closed := make(chan struct{})
	go func() { f.stop(2); close(closed) }()
	select {
	case <-closed:
	case <-time.After(configuration.ApplyGrace + 3*time.Second):
		t.Error("Close waits for Host.Apply without a bound")
	}
	close(release)
	f.eventually("the blocked call of Apply has ended", func() bool { return f.hosts[2].usesVersion(one.Number, []byte("one")) })
	if n := f.hosts[2].callCount(); n != 1 {
		t.Errorf("%d calls of Apply in all, want 1, as none may follow Close", n)
	}
}

// Frames that announce a later version, but come from a controller with another key, fleet or generation,
// must change nothing.
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
			f.eventually(name+" is rejected", func() bool { return rejectedConnections(s) > 0 })
		}
		foreign.Close()
	}
	two := f.put(1, []byte("two"))
	if two.Number != one.Number+1 {
		t.Errorf("agreed on %+v, want version 2", two)
	}
	f.awaitInForce(two, []byte("two"), 0, 1, 2)
	for i, s := range f.services {
		f.eventually(fmt.Sprintf("n%d knows the second version as the latest", i), func() bool {
			return s.ConfigReadiness().Latest == two.Number
		})
	}
}

// rejectedConnections returns the number of connections that were rejected as foreign or forged.
func rejectedConnections(s *Service) (n int64) {
	for _, a := range s.links.LogValue().Group() {
		if a.Key == "forged" || a.Key == "foreign" {
			n += a.Value.Int64()
		}
	}
	return n
}

// idleCost is what an idle fleet of three services needs.
type idleCost struct{ goroutines, descriptors int }

func measureIdleCost(t *testing.T) idleCost {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors can't be counted here")
	}
	return idleCost{runtime.NumGoroutine(), len(open)}
}

// An idle fleet with a version in force must need no more goroutines and descriptors than one without
// configuration, except for the lock of each folder.
func TestConfigAtRest(t *testing.T) {
	var baseline idleCost
	t.Run("off", func(t *testing.T) {
		f := startConfigFleet(t, 3, func(f *configFleet) { f.noConfig = true })
		f.eventually("every controller sees all members alive", func() bool { return f.allMembersAlive() })
		for range 100 { // takes the maximum over a while, as connections come and go
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
		f.eventually("goroutines and descriptors are within the baseline", func() bool {
			now = measureIdleCost(t)
			return now.goroutines <= baseline.goroutines && now.descriptors <= baseline.descriptors+locks
		})
		f.logIdleCost("on", now)
	})
}
