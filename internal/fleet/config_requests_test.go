package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// Documents of the smallest to the largest size must come into force at every controller, and status, history
// and show must report them. Empty and oversized documents are refused.
func TestPutIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 5, nil)
	all := []int{0, 1, 2, 3, 4}
	documents := [][]byte{
		[]byte("x"),
		bytes.Repeat([]byte("y"), 64<<10),
		bytes.Repeat([]byte("z"), config.MaxDocument),
	}
	for n, document := range documents {
		v := f.put(n+2, document)
		if v.Number != uint64(n+1) || v.Author != "a" || v.Reason != "r" || v.Size != len(document) || v.Time == 0 {
			t.Errorf("agreed on %+v, want the next number, the request's author, reason and size, and a time", v)
		}
		f.awaitInForce(v, document, all...)
	}
	f.awaitStatus(4, "version 3 is in force at all 5 members", func(s *config.Status) bool {
		return s.Latest.Number == 3 && s.Members == 5 && s.InForce == 5 && s.ByVersion[3] == 5
	})
	oversized := &configuration.Request{Document: make([]byte, config.MaxDocument+1)}
	for size, want := range map[int]string{
		config.MaxDocument + 1: oversized.RefuseOversized().Reason,
		0:                      "the document is empty",
	} {
		request := configuration.Request{Action: configuration.ActionPut, Document: make([]byte, size)}
		answer, err := f.request(1, request)
		if err != nil || answer.Result != configuration.ResultRefused || answer.Reason != want {
			t.Errorf("put of %d bytes by the command's client: got %+v, %v, want it refused", size, answer, err)
		}
		status, err := f.services[1].Handle(control.Request{Action: "config", Config: &request})
		if err != nil || status.Config.Result != configuration.ResultRefused || status.Config.Reason != want {
			t.Errorf("put of %d bytes without the client's check: got %+v, %v, want it refused", size, status.Config, err)
		}
	}
	history, err := f.request(3, configuration.Request{Action: configuration.ActionHistory})
	if err != nil || len(history.Versions) != 3 || history.From == "" || history.Local.Number != 3 {
		t.Errorf("history: got %+v, %v, want 3 versions and the leader's name", history, err)
	}
	for number, want := range map[uint64][]byte{
		0: documents[2], 1: documents[0], 2: documents[1], 3: documents[2],
	} {
		shown, err := f.request(4, configuration.Request{Action: configuration.ActionShow, Number: number})
		if err != nil || !bytes.Equal(shown.Document, want) {
			t.Errorf("show %d: got %d bytes, %v, want the document that was put", number, len(shown.Document), err)
		}
	}
	if _, err := f.request(4, configuration.Request{Action: configuration.ActionShow, Number: 9}); err == nil {
		t.Error("show of a version that was never agreed on: got no error")
	}
	if local := f.services[4].WaitConfig(context.Background()); local.Number != 3 || !local.Confirmed ||
		local != f.services[4].ConfigReadiness() {
		t.Errorf("readiness: got %+v, want version 3, confirmed", local)
	}
	f.checkVersionsNeverDecrease()
}

// Of two concurrent puts that expect the same newest version, exactly one must be agreed on. The other is
// answered with the version that was.
func TestOneOfTwoPutsAtOnceWins(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	first := f.put(0, []byte("first"))
	answers := make(chan configuration.Answer, 2)
	for i := range 2 {
		go func() {
			answer, err := f.request(i, configuration.Request{
				Action:   configuration.ActionPut,
				Document: fmt.Append(nil, "by ", i),
				Expect:   &first.Number,
			})
			if err != nil {
				t.Error(err)
			}
			answers <- answer
		}()
	}
	a, b := <-answers, <-answers
	if a.Result == configuration.ResultLost {
		a, b = b, a
	}
	if a.Result != configuration.ResultAgreed || b.Result != configuration.ResultLost || b.Version == nil ||
		b.Version.Number != first.Number+1 || b.Version.Hash != a.Version.Hash {
		t.Fatalf("got answers %+v and %+v, want one agreed on and the other lost to it", a, b)
	}
	stale, err := f.request(2, configuration.Request{Action: configuration.ActionPut, Document: []byte("late"),
		Expect: &first.Number})
	if err != nil || stale.Result != configuration.ResultLost {
		t.Errorf("put that expects a version that is no longer the newest: got %+v, %v, want it lost", stale, err)
	}
	f.checkVersionsNeverDecrease()
}

// The controller asked must refuse a document that fails its check or makes the check panic, with the
// problems, and must propose nothing. A rollback is checked in the same way.
func TestUnusableDocumentIsRefusedByTheControllerAsked(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, nil)
	f.hosts[0].setCheck(func(document []byte) error {
		switch string(document) {
		case "good":
			return nil
		case "panic":
			panic("the parser is broken")
		}
		return errors.New("line 4: what is this?")
	})
	for document, want := range map[string]string{"bad": "line 4", "panic": "the parser is broken"} {
		answer, err := f.request(0, configuration.Request{Action: configuration.ActionPut,
			Document: []byte(document)})
		if err != nil || answer.Result != configuration.ResultRefused || !strings.Contains(answer.Reason, want) {
			t.Errorf("put of %q: got %+v, %v, want it refused with the error of the check", document, answer, err)
		}
	}
	v := f.put(0, []byte("good"))
	if v.Number != 1 {
		t.Errorf("agreed on %+v, want version 1, as refused documents take no number", v)
	}
	f.hosts[0].setCheck(func([]byte) error { return errors.New("no longer") })
	rollback, err := f.request(0, configuration.Request{Action: configuration.ActionRollback, Number: 1})
	if err != nil || rollback.Result != configuration.ResultRefused {
		t.Errorf("rollback to a document that fails its check now: got %+v, %v, want it refused", rollback, err)
	}
}

// A rollback must make an earlier document a new version. One that expects an older version than the newest
// loses, and one to a version that never existed fails.
func TestConfigRollback(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	f.put(0, []byte("one"))
	f.put(1, []byte("two"))
	answer, err := f.request(3, configuration.Request{Action: configuration.ActionRollback, Number: 1,
		Author: "b", Reason: "two is bad"})
	if err != nil || answer.Result != configuration.ResultAgreed || answer.Version.Number != 3 ||
		answer.Version.RollbackOf != 1 ||
		answer.Version.Reason != "two is bad" {
		t.Fatalf("rollback to version 1: got %+v, %v, want it agreed on as version 3", answer, err)
	}
	f.awaitInForce(*answer.Version, []byte("one"), 0, 1, 2, 3)
	seen := uint64(2)
	if late, err := f.request(2, configuration.Request{Action: configuration.ActionRollback, Number: 2,
		Expect: &seen}); err != nil || late.Result != configuration.ResultLost {
		t.Errorf("rollback that expects a version that is no longer the newest: got %+v, %v, want it lost", late, err)
	}
	if _, err := f.request(3, configuration.Request{Action: configuration.ActionRollback, Number: 8}); err == nil {
		t.Error("rollback to a version that was never agreed on: got no error")
	}
	f.checkVersionsNeverDecrease()
}

// A service without a configuration host must have no folder and no counts for configuration, and must answer
// requests about it with an error.
func TestServiceWithoutConfigurationHost(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s, err := Start(newBlock(t, dir, 0, []string{"127.0.0.1:0"}), "n0", nil, nil, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := control.Call(context.Background(), filepath.Join(dir, "n0"),
		control.Request{Action: "status"}); err != nil {
		t.Error(err)
	}
	if local := s.WaitConfig(context.Background()); local != (config.Readiness{}) ||
		s.ConfigReadiness() != local {
		t.Errorf("readiness: got %+v, want the zero value", local)
	}
	status, err := control.Call(context.Background(), filepath.Join(dir, "n0"), control.Request{Action: "config",
		Config: &configuration.Request{Action: configuration.ActionStatus}})
	if err == nil || !strings.Contains(err.Error(), configuration.ErrOff.Error()) {
		t.Errorf("configuration request: got error %v, want ErrOff", err)
	}
	if status.Config != nil {
		t.Errorf("configuration request: got the answer %+v, want none", status.Config)
	}
	long := configuration.Request{Action: configuration.ActionPut, Document: make([]byte, control.MaxRequestBytes)}
	if _, err := control.Call(context.Background(), filepath.Join(dir, "n0"), control.Request{Action: "config",
		Config: &long}); err == nil ||
		!strings.Contains(err.Error(), control.ErrTooLong.Error()) {
		t.Errorf("oversized configuration request: got error %v, want ErrTooLong", err)
	}
	if _, err := os.Stat(filepath.Join(dir, "n0", configuration.FolderName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("folder of configuration versions: got error %v, want it not to exist", err)
	}
	if slices.ContainsFunc(s.LogValue().Group(), func(a slog.Attr) bool { return a.Key == "config" }) {
		t.Error("the service reports configuration counts, want none")
	}
}

// Requests that are oversized, empty or unknown must get an error, and one with an oversized author or reason
// must be refused.
func TestConfigurationRequestsBeyondBoundsAreRefused(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, nil)
	long := strings.Repeat("x", control.MaxRequestBytes)
	for name, r := range map[string]control.Request{
		"oversized request": {Action: "config",
			Config: &configuration.Request{Action: configuration.ActionPut, Reason: strings.Repeat("x",
				configuration.MaxRequestBytes)}},
		"missing request": {Action: "config"},
		"unknown action":  {Action: "config", Config: &configuration.Request{Action: "jump"}},
	} {
		if _, err := control.Call(context.Background(), f.folder(0), r); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
	if _, err := control.Call(context.Background(), f.folder(0), control.Request{Action: "status",
		Lease: long}); err == nil ||
		!strings.Contains(err.Error(), control.ErrTooLong.Error()) {
		t.Errorf("oversized status request: got error %v, want ErrTooLong", err)
	}
	f.put(0, []byte("x"))
	for name, o := range map[string]configuration.Request{
		"oversized author": {Action: configuration.ActionPut, Document: []byte("y"), Author: strings.Repeat("a",
			config.MaxAuthor+1)},
		"oversized reason": {Action: configuration.ActionPut, Document: []byte("y"), Reason: strings.Repeat("a",
			config.MaxReason+1)},
	} {
		if answer, err := f.request(0, o); err != nil || answer.Result != configuration.ResultRefused ||
			answer.Reason == "" {
			t.Errorf("%s: got %+v, %v, want it refused with a reason", name, answer, err)
		}
	}
}

// With two of three voters down, a put must be answered in time with the result that its outcome is unknown,
// and the last version must stay in force.
func TestPutWithoutMajorityIsUnknown(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 3, nil)
	one := f.put(0, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2)
	f.stop(1)
	f.stop(2)
	f.eventually("there is no leader", func() bool {
		_, err := f.request(0, configuration.Request{Action: configuration.ActionHistory})
		return err != nil && strings.Contains(err.Error(), configuration.ErrNoLeader.Error())
	})
	answer, err := f.request(0, configuration.Request{Action: configuration.ActionPut, Document: []byte("two"),
		Expect: &one.Number})
	if err != nil || answer.Result != configuration.ResultUnknown || answer.Local.Number != one.Number {
		t.Errorf("put without a majority: got %+v, %v, want an unknown outcome and version 1 in force", answer, err)
	}
	if !f.hosts[0].usesVersion(one.Number, []byte("one")) {
		t.Error("the last version is not in force")
	}
}

// If the leader stops during a put, the put must still be answered with the version that was agreed on. The
// version comes into force at the others, and at the former leader after its restart. All controllers must
// have the same history, with one document for each number.
func TestPutIsAnsweredThoughTheLeaderStops(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 4, nil)
	one := f.put(3, []byte("one"))
	f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
	history, err := f.request(3, configuration.Request{Action: configuration.ActionHistory})
	if err != nil {
		t.Fatal(err)
	}
	leader := slices.Index([]string{"n0", "n1", "n2"}, history.From)
	if leader < 0 {
		t.Fatalf("the leader is %q, want one of the voters n0 to n2", history.From)
	}
	document := bytes.Repeat([]byte("two"), 200<<10)
	answered := make(chan configuration.Answer, 1)
	go func() {
		answer, err := f.request(3, configuration.Request{Action: configuration.ActionPut, Document: document,
			Expect: &one.Number})
		if err != nil {
			t.Error(err)
		}
		answered <- answer
	}()
	f.eventually("the proposal is pending or answered", func() bool {
		n, err := callSession(f.services[3], control.Timeout, func(s *session) int { return s.config.Waiting() })
		return err == nil && n > 0 || len(answered) > 0
	})
	f.stop(leader)
	answer := <-answered
	if answer.Result != configuration.ResultAgreed || answer.Version.Number != one.Number+1 {
		t.Fatalf("put: got %+v, want it agreed on as version 2", answer)
	}
	others := slices.DeleteFunc([]int{0, 1, 2, 3}, func(i int) bool { return i == leader })
	f.awaitInForce(*answer.Version, document, others...)
	f.start(leader)
	f.awaitInForce(*answer.Version, document, leader)
	for i := range f.services {
		history, err := f.request(i, configuration.Request{Action: configuration.ActionHistory})
		if err != nil || len(history.Versions) != 2 || history.Versions[1] != *answer.Version {
			t.Errorf("history at n%d: got %+v, %v, want 2 versions, the last of them the one put", i, history, err)
		}
	}
	f.checkVersionsNeverDecrease()
}
