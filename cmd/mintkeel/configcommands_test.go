package main

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// fakeControl is a controller's control socket that replies with prepared answers by action. The last answer of an
// action is repeated; a nil answer closes the connection.
type fakeControl struct {
	folder  string
	answers map[configuration.Action][]*control.Status

	mu       sync.Mutex
	requests []configuration.Request
}

func newFakeControl(t *testing.T, answers map[configuration.Action][]*control.Status) *fakeControl {
	t.Helper()
	fake := &fakeControl{folder: t.TempDir(), answers: answers}
	listener, err := net.Listen("unix", filepath.Join(fake.folder, "control.sock"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			fake.answer(conn)
		}
	}()
	return fake
}

func (f *fakeControl) answer(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadBytes('\n')
	if err != nil {
		return
	}
	var r control.Request
	if json.Unmarshal(line, &r) != nil || r.Config == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, *r.Config)
	remaining := f.answers[r.Config.Action]
	if len(remaining) == 0 || remaining[0] == nil {
		return
	}
	if len(remaining) > 1 {
		f.answers[r.Config.Action] = remaining[1:]
	}
	json.NewEncoder(conn).Encode(remaining[0])
}

// lastRequest returns the last request of an action.
func (f *fakeControl) lastRequest(action configuration.Action) (request configuration.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		if r.Action == action {
			request = r
		}
	}
	return request
}

func answerStatus(a configuration.Answer) *control.Status {
	return &control.Status{Self: "n1", Config: &a}
}

func versionOf(number uint64) *config.Version {
	return &config.Version{Number: number, Hash: config.Hash{byte(number), 0xab}, Size: 9, Author: "anna", Reason: "why\x1b[2J",
		Time: time.Date(2026, 12, 2, 5, 6, 7, 0, time.UTC).UnixMilli()}
}

// statusOf returns an answer with the status of a leader that has collected reports for a minute.
func statusOf(number uint64, memberCount, inForce int, change func(*config.Status)) configuration.Answer {
	s := &config.Status{
		Latest:       *versionOf(number),
		Members:      memberCount,
		InForce:      inForce,
		ByVersion:    map[uint64]int{number: inForce},
		CollectedFor: 60_000,
	}
	if change != nil {
		change(s)
	}
	return configuration.Answer{Status: s, From: "n1", Local: config.Readiness{Confirmed: true, Number: number, Latest: number}}
}

// reports returns reports of this age, one for each name.
func reports(age float64, applied uint64, reason string, names ...members.ID) (list []config.ControllerReport) {
	for _, name := range names {
		list = append(list, config.ControllerReport{ID: name, Applied: applied, Reason: reason, Age: age})
	}
	return list
}

// Scripts decide by the exit code of put and rollback. Each outcome must have its own code, and the text must not claim more
// than is known.
func TestConfigChangeExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "doc.hcl")
	if err := os.WriteFile(file, []byte("log {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	agreed := answerStatus(configuration.Answer{Result: "agreed", Version: versionOf(12)})
	state := func(a ...configuration.Answer) (list []*control.Status) {
		for _, one := range a {
			list = append(list, answerStatus(one))
		}
		return list
	}
	for _, c := range []struct {
		name      string
		put       *control.Status
		states    []*control.Status
		wait      string
		code      int
		out, errs []string
	}{
		{"in force at all", agreed, state(statusOf(12, 3, 3, nil)), "9s", 0,
			[]string{"version 12 is agreed", "version 12 in force at 3 of 3\n"}, nil},
		{"in force after a while", agreed, state(statusOf(11, 3, 3, nil), statusOf(12, 3, 1, func(s *config.Status) {
			s.ByVersion[11], s.Behind = 2, reports(1, 11, "", "n2", "n3")
		}), statusOf(12, 3, 3, nil)), "9s", 0, []string{"version 12 in force at 3 of 3\n"}, nil},
		{"in force at all that are heard", agreed, state(statusOf(12, 3, 2, func(s *config.Status) {
			s.Unreachable = reports(-1, 0, "", "n3")
		})), "9s", 0, []string{"version 12 in force at 2 of 3; 1 not heard by this leader: n3\n"}, nil},
		{"a leader that has just been elected", agreed, state(statusOf(12, 3, 1, func(s *config.Status) {
			s.CollectedFor, s.Unreachable = 2000, reports(-1, 0, "", "n2", "n3")
		})), "0s", 3, []string{"version 12 in force at 1 of 3; 2 not heard: n2 by this leader, n3 by this leader"},
			[]string{"2 controllers are not heard, and the leader has collected for 2s only"}},
		{"one is behind", agreed, state(statusOf(12, 3, 2, func(s *config.Status) {
			s.ByVersion[11], s.Behind = 1, reports(1, 11, "", "n3")
		})), "300ms", 3, []string{"in force at 2 of 3; 1 behind: n3 (version 11)"}, []string{"not in force at all controllers that are heard"}},
		{"one refused", agreed, state(statusOf(12, 3, 2, func(s *config.Status) {
			s.ByVersion[11], s.Rejected = 1, reports(1, 11, "line 4: field x\nis not\x07 known", "n17")
		})), "60s", 3, []string{"in force at 2 of 3; 1 refused: n17 (line 4: field x is not  known)"}, []string{"not in force at all"}},
		{"a later one came", agreed, state(statusOf(13, 3, 2, func(s *config.Status) { s.ByVersion[12] = 1 })), "9s", 0,
			[]string{"version 13 in force at 2 of 3\n"}, nil},
		{"a leader that is behind", agreed, state(statusOf(11, 3, 3, nil)), "300ms", 3, nil, []string{"version 12 is agreed and not in force"}},
		{"lists that are cut", agreed, state(statusOf(12, 600, 400, func(s *config.Status) { s.Omitted, s.ByVersion[11] = 100, 100 })), "0s", 3,
			[]string{"version 12 in force at 400 of 600; 100 more that are refused, behind or not heard"}, []string{"not in force"}},
		{"no status", agreed, state(configuration.Answer{}), "300ms", 3, []string{"version 12 is agreed\n"}, []string{"is not known"}},
		{"no answer to status", agreed, []*control.Status{nil}, "300ms", 3, nil, []string{"is not known", "EOF"}},
		{"lost", answerStatus(configuration.Answer{Result: "lost", Version: versionOf(13)}), nil, "9s", 4, nil,
			[]string{"version 13 by anna (why [2J) was agreed first"}},
		{"refused", answerStatus(configuration.Answer{Result: "refused", Reason: "line 2: field log.level: no"}), nil, "9s", 1, nil,
			[]string{"refused", "line 2: field log.level"}},
		{"unknown", answerStatus(configuration.Answer{Result: "unknown", Reason: "the leader did not answer"}), nil, "9s", 1, nil,
			[]string{"not known whether it was agreed", "fleet config history"}},
		{"connection closed without an answer", nil, nil, "9s", 1, nil, []string{"it may have been agreed", "fleet config history"}},
		{"an error", &control.Status{Error: "the controller does not answer in time"}, nil, "9s", 1, nil,
			[]string{"does not answer in time", "it may have been agreed"}},
		{"nothing was done", &control.Status{Error: "nothing was proposed: no leader", Config: &configuration.Answer{}}, nil, "9s", 1, nil,
			[]string{"mintkeel: nothing was proposed: no leader\n"}},
		{"no block config", &control.Status{}, nil, "9s", 1, nil, []string{"block config"}},
	} {
		for action, args := range map[configuration.Action][]string{configuration.ActionPut: {"put", file}, configuration.ActionRollback: {"rollback", "7"}} {
			fake := newFakeControl(t, map[configuration.Action][]*control.Status{action: {c.put}, configuration.ActionStatus: slices.Clone(c.states)})
			var out, errs strings.Builder
			args = append([]string{"fleet", "config", "--folder", fake.folder, "--reason", "r", "--author", "a", "--wait", c.wait}, args...)
			code := execute(args, &out, &errs)
			if code != c.code || !containsAll(out.String(), c.out) || !containsAll(errs.String(), c.errs) || c.errs == nil && errs.Len() > 0 {
				t.Errorf("%s, %s: unexpected exit code %d, or unexpected output:\n%s\n%s", c.name, action, code, out.String(), errs.String())
			}
			request := fake.lastRequest(action)
			if request.Author != "a" || request.Reason != "r" || request.Expect != nil ||
				action == configuration.ActionPut && string(request.Document) != "log {\n}\n" || action == configuration.ActionRollback && request.Number != 7 {
				t.Errorf("%s: the request does not follow the flags: %+v", c.name, request)
			}
		}
	}
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Commands that change nothing print the answer of the controller; arguments that can't be used are rejected before any
// request is sent.
func TestConfigCommandsOutput(t *testing.T) {
	dir := t.TempDir()
	small, large, empty := filepath.Join(dir, "doc.hcl"), filepath.Join(dir, "large.hcl"), filepath.Join(dir, "empty.hcl")
	for path, text := range map[string]string{small: "log {\n}\n", large: strings.Repeat("#", config.MaxDocument+1), empty: ""} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	again := versionOf(3)
	again.RollbackOf = 1
	refusedAt := statusOf(12, 670, 668, func(s *config.Status) {
		s.ByVersion[11], s.Rejected = 1, reports(1, 11, "line 4: no", "n17")
		s.Unreachable = reports(60_000, 11, "", "n40")
	})
	documents := []*control.Status{answerStatus(configuration.Answer{Document: []byte("a\nb\nc\n")}), answerStatus(configuration.Answer{Document: []byte("a\nx\nc\n")})}
	put := "put --reason r " + small
	for _, c := range []struct {
		args      string
		action    configuration.Action
		answers   []*control.Status
		code      int
		out, errs []string
	}{
		{"", "", nil, 0, []string{"history"}, nil},
		{"put", "", nil, 2, nil, []string{"arg"}},
		{"put " + small, "", nil, 2, nil, []string{"--reason is missing"}},
		{"put --reason " + strings.Repeat("r", config.MaxReason+1) + " " + small, "", nil, 2, nil, []string{"--reason has over"}},
		{put + " --author " + strings.Repeat("a", config.MaxAuthor+1), "", nil, 2, nil, []string{"--author has over"}},
		{put + " --wait -1s", "", nil, 2, nil, []string{"--wait"}},
		{put + " --expect x", "", nil, 2, nil, []string{"expect"}},
		{"put --reason r " + large, "", nil, 1, nil, []string{"large.hcl: has over 1048576 bytes"}},
		{"put --reason r " + empty, "", nil, 1, nil, []string{"is empty"}},
		{"put --reason r " + small + "x", "", nil, 1, nil, []string{"no such file"}},
		{"rollback --reason r x", "", nil, 2, nil, []string{"not a version number"}},
		{"rollback --reason r 0", "", nil, 2, nil, []string{"not a version number"}},
		{"show", "", nil, 2, nil, []string{"arg"}},
		{"diff 1", "", nil, 2, nil, []string{"arg"}},
		{"status", configuration.ActionStatus, []*control.Status{answerStatus(statusOf(12, 3, 3, nil))}, 0,
			[]string{"version 12 in force at 3 of 3\n", "the controller asked: version 12 in force\n"}, nil},
		{"status", configuration.ActionStatus, []*control.Status{answerStatus(refusedAt)}, 3,
			[]string{"version 12 in force at 668 of 670; 1 refused: n17 (line 4: no); 1 not heard since ", ": n40\n"}, []string{"not in force at all"}},
		{"status --json", configuration.ActionStatus, []*control.Status{answerStatus(refusedAt)}, 3, []string{`"in_force": 668`, `"in_force_at_all_heard": false`,
			`"controller": "n17"`, `"reason": "line 4: no"`, `"last_heard": "`, `"hash": "0cab00`, `"known": true`}, []string{"not in force"}},
		{"status --wait 5s", configuration.ActionStatus, []*control.Status{answerStatus(statusOf(12, 3, 1, func(s *config.Status) {
			s.ByVersion[11], s.Behind = 2, reports(1, 11, "", "n2", "n3")
		})), answerStatus(statusOf(12, 3, 3, nil))}, 0, []string{"version 12 in force at 3 of 3"}, nil},
		{"status", configuration.ActionStatus, []*control.Status{answerStatus(configuration.Answer{Local: config.Readiness{Number: 4, Latest: 5}})}, 1,
			[]string{"the controller asked: version 4 in force, version 5 heard of, not confirmed"}, []string{"is not known: no leader"}},
		{"status", configuration.ActionStatus, []*control.Status{{Error: "the leader does not answer", Config: &configuration.Answer{}}}, 1,
			[]string{"no version in force, only its own file, not confirmed"}, []string{"is not known: no leader answered", "the leader does not answer"}},
		{"status --json", configuration.ActionStatus, []*control.Status{answerStatus(configuration.Answer{Local: config.Readiness{Number: 4, Latest: 5}})}, 1,
			[]string{`"known": false`, `"version": 4`}, []string{"is not known"}},
		{"status", configuration.ActionStatus, []*control.Status{answerStatus(statusOf(0, 3, 0, nil))}, 0, []string{"no version is agreed yet: each of 3"}, nil},
		{"history", configuration.ActionHistory, []*control.Status{answerStatus(configuration.Answer{Versions: []config.Version{*versionOf(2), *again}})}, 0,
			[]string{"3        ", "rollback to 1: why [2J", "anna", "03ab00000000  "}, nil},
		{"history --json", configuration.ActionHistory, []*control.Status{answerStatus(configuration.Answer{Versions: []config.Version{*again}})}, 0,
			[]string{`"number": 3`, `"rollback_of": 1`, `"time": "2026-12-02T05:06:07Z"`}, nil},
		{"history", configuration.ActionHistory, []*control.Status{{Error: "no leader is known"}}, 1, nil, []string{"no leader is known"}},
		{"show 1", configuration.ActionShow, documents[:1], 0, []string{"a\nb\nc\n"}, nil},
		{"show 1 --json", configuration.ActionShow, documents[:1], 0, []string{`"document": "a\nb\nc\n"`}, nil},
		{"show 9", configuration.ActionShow, []*control.Status{answerStatus(configuration.Answer{Reason: "it is not kept any more"})}, 1, nil,
			[]string{"version 9: it is not kept any more"}},
		{"diff 1 2", configuration.ActionShow, documents, 0, []string{"--- version 1\n+++ version 2\n", " a\n-b\n+x\n c\n"}, nil},
		{"diff 1 2 --json", configuration.ActionShow, documents, 0, []string{`"from": 1`, `"diff": "--- version 1`}, nil},
		{"diff 1 1", configuration.ActionShow, documents[:1], 0, nil, nil},
		{put + " --json --wait 0s", configuration.ActionPut, []*control.Status{answerStatus(configuration.Answer{Result: "lost", Version: versionOf(13)})}, 4,
			[]string{`"result": "lost"`, `"number": 13`}, []string{"was agreed first"}},
		{put + " --json --wait 0s", configuration.ActionPut, []*control.Status{answerStatus(configuration.Answer{Result: "agreed", Version: versionOf(13)})}, 3,
			[]string{`"result": "agreed"`}, []string{"is not known"}},
	} {
		fake := newFakeControl(t, map[configuration.Action][]*control.Status{c.action: slices.Clone(c.answers)})
		var out, errs strings.Builder
		args := append([]string{"fleet", "config", "--folder", fake.folder}, strings.Fields(c.args)...)
		if code := execute(args, &out, &errs); code != c.code || !containsAll(out.String(), c.out) || !containsAll(errs.String(), c.errs) ||
			c.errs == nil && errs.Len() > 0 {
			t.Errorf("%.80q: unexpected exit code %d, or unexpected output:\n%s\n%s", c.args, code, out.String(), errs.String())
		}
	}
}

// The request follows the flags. Without --author the author is the current user; without a controller the command fails.
func TestConfigRequestFollowsFlags(t *testing.T) {
	file := filepath.Join(t.TempDir(), "doc.hcl")
	if err := os.WriteFile(file, []byte("#"), 0o600); err != nil {
		t.Fatal(err)
	}
	fake := newFakeControl(t, map[configuration.Action][]*control.Status{configuration.ActionPut: {answerStatus(configuration.Answer{Result: "refused"})}})
	t.Setenv("MINTKEEL_FLEET", fake.folder)
	var out, errs strings.Builder
	execute([]string{"fleet", "config", "put", file, "--reason", "r", "--expect", "0"}, &out, &errs)
	if request := fake.lastRequest(configuration.ActionPut); request.Expect == nil || *request.Expect != 0 || request.Author != userName() || request.Author == "" {
		t.Errorf("the request does not follow the flags: %+v", request)
	}
	t.Setenv("MINTKEEL_FLEET", "")
	for folder, want := range map[string]string{"": "no folder", t.TempDir(): "no controller answers"} {
		errs.Reset()
		args := []string{"fleet", "config", "put", file, "--reason", "r", "--folder", folder}
		if code := execute(args, &out, &errs); code != 1 || !strings.Contains(errs.String(), want) || strings.Contains(errs.String(), "may have been") {
			t.Errorf("folder %q: unexpected exit code %d, or unexpected errors: %s", folder, code, errs.String())
		}
	}
}
