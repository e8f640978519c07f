package configuration

import (
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
)

var (
	first  = Incarnation{"n0", 1}
	again  = Incarnation{"n0", 2}
	other  = Incarnation{"n1", 3}
	folder = Folder{"n0", 0}
	copied = Folder{"n0", 1}
	fleet  = []members.ID{"n0", "n1", "n2"}
)

func version(number uint64, hash byte, reason string) config.Version {
	return config.Version{Number: number, Hash: config.Hash{hash}, Reason: reason}
}

func proposal(reason string, expect uint64, hash byte) Proposal {
	return Proposal{Reason: reason, Expect: expect, Hash: config.Hash{hash}}
}

func agreed(v config.Version) config.ProposalResult {
	return config.ProposalResult{Result: config.Committed, Version: v}
}

// status is the status of three controllers at version 1, which is in force at two; one is behind.
func status() *config.Status {
	return &config.Status{Latest: version(1, 1, "a"), Members: 3, InForce: 2, ByVersion: map[uint64]int{1: 2, 0: 1},
		Behind: []config.ControllerReport{{ID: "n2", Run: 9}}}
}

func applyAt(c *Checker, ids ...members.ID) {
	for i, id := range ids {
		c.Applied(float64(i), Incarnation{id, uint64(i + 1)}, Folder{id, 0}, version(1, 1, "a"))
	}
}

func TestChecker(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(c *Checker)
		broken  string // a part of the violation; empty: none is found
	}{
		"numbers rise": {func(c *Checker) {
			c.Started(1, first, folder, config.Version{})
			c.Applied(2, first, folder, version(1, 1, "a"))
			c.Applied(3, first, folder, version(3, 3, "c"))
			c.Started(4, again, folder, version(3, 3, "c"))
		}, ""},
		"a run goes back": {func(c *Checker) {
			c.Applied(1, first, folder, version(2, 2, "b"))
			c.Applied(2, first, copied, version(1, 1, "a"))
		}, "n0/1 applied version 1 after version 2"},
		"a folder goes back at a start": {func(c *Checker) {
			c.Applied(1, first, folder, version(2, 2, "b"))
			c.Started(2, again, folder, version(1, 1, "a"))
		}, "starts with version 1"},
		"a folder starts with nothing": {func(c *Checker) {
			c.Applied(1, first, folder, version(2, 2, "b"))
			c.Started(2, again, folder, config.Version{})
		}, "starts with version 0"},
		"a folder goes back": {func(c *Checker) {
			c.Applied(1, first, folder, version(2, 2, "b"))
			c.Applied(2, again, folder, version(1, 1, "a"))
		}, "where version 2 was in force"},
		"an older copy was put back": {func(c *Checker) {
			c.Applied(1, first, folder, version(2, 2, "b"))
			c.Started(2, again, copied, version(1, 1, "a"))
			c.Applied(3, again, copied, version(2, 2, "b"))
		}, ""},
		"two documents of one number": {func(c *Checker) {
			c.Applied(1, first, folder, version(1, 1, "a"))
			c.Applied(2, other, Folder{"n1", 0}, version(1, 2, "b"))
		}, "and was"},
		"two documents of one number, one agreed on": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", agreed(version(1, 1, "a")))
			c.Applied(2, other, Folder{"n1", 0}, version(1, 2, "b"))
		}, "and was"},
		"one of two wins": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Proposed(proposal("b", 0, 2))
			c.Concluded(1, "a", agreed(version(1, 1, "a")))
			c.Concluded(2, "b", config.ProposalResult{Result: config.Conflict, Version: version(1, 1, "a")})
			c.History(3, "n0", []config.Version{version(1, 1, "a")})
			c.Survived(4, "n0", []config.Version{version(1, 1, "a")})
		}, ""},
		"both of two proposals are reported as agreed": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Proposed(proposal("b", 0, 1))
			c.Concluded(1, "a", agreed(version(1, 1, "a")))
			c.Concluded(2, "b", agreed(version(1, 1, "b")))
		}, `is "b" and was "a"`},
		"one is agreed under another number than the expected one": {func(c *Checker) {
			c.Proposed(proposal("a", 4, 1))
			c.Concluded(1, "a", agreed(version(4, 1, "a")))
		}, "expected version 4"},
		"one is reported as another document": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", agreed(version(1, 2, "a")))
		}, "was reported as"},
		"one that was reported as lost is in the history": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", config.ProposalResult{Result: config.Conflict})
			c.History(2, "n0", []config.Version{version(1, 1, "a")})
		}, "reported as lost or refused"},
		"one of the history is reported as refused": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.History(1, "n0", []config.Version{version(1, 1, "a")})
			c.Concluded(2, "a", config.ProposalResult{Result: config.Rejected})
		}, "reported as lost or refused"},
		"one whose result is unknown is in the history": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", config.ProposalResult{Result: config.Unknown})
			c.History(2, "n0", []config.Version{version(1, 1, "a")})
		}, ""},
		"one has two results": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", config.ProposalResult{Result: config.Conflict})
			c.Concluded(2, "a", agreed(version(1, 1, "a")))
		}, "was reported as"},
		"one that nobody proposed": {func(c *Checker) {
			c.History(1, "n0", []config.Version{version(1, 1, "a")})
		}, "nobody proposed"},
		"one is agreed on twice": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.History(1, "n0", []config.Version{version(1, 1, "a"), version(2, 1, "a")})
		}, "is version 2 and was version 1"},
		"histories differ": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Proposed(proposal("b", 0, 2))
			c.History(1, "n0", []config.Version{version(1, 1, "a")})
			c.History(2, "n1", []config.Version{version(1, 2, "b")})
		}, "version 1"},
		"a history has a gap": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Proposed(proposal("c", 2, 3))
			c.History(1, "n0", []config.Version{version(1, 1, "a"), version(3, 3, "c")})
		}, "version 3 follows version 1"},
		"one is in the history after another version than it expected": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Proposed(proposal("b", 0, 2))
			c.History(1, "n0", []config.Version{version(1, 1, "a"), version(2, 2, "b")})
		}, `"b" expected version 0 and is version 2`},
		"an agreed version is lost": {func(c *Checker) {
			c.Proposed(proposal("a", 0, 1))
			c.Concluded(1, "a", agreed(version(1, 1, "a")))
			c.Survived(2, "n0", nil)
		}, "is lost"},
		"a status": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			c.StatusMade(5, status(), nil)
		}, ""},
		"a status counts one that has not applied it yet": {func(c *Checker) {
			applyAt(c, "n0")
			c.Applied(6, other, Folder{"n1", 0}, version(1, 1, "a"))
			c.StatusMade(5, status(), nil)
		}, "2 as in force at version 1, and 1 had"},
		"a status counts another than the one that has": {func(c *Checker) {
			applyAt(c, "n0", "n2")
			c.StatusMade(5, status(), nil)
		}, "takes n1 as in force"},
		"a status counts one that has long been down": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			c.Ended(10, "n1")
			c.StatusMade(11+FreshFor, status(), nil)
		}, "2 as in force"},
		"a status counts one that has just gone down": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			c.Ended(10, "n1")
			c.StatusMade(11, status(), nil)
		}, ""},
		"a status counts one twice": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			s := status()
			s.ByVersion[1] = 3
			c.StatusMade(5, s, nil)
		}, "4 controllers by version, of 3"},
		"a status counts one whose newer run had not applied it": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			c.StatusMade(5, status(), map[members.ID]uint64{"n0": 1, "n1": 77})
		}, "2 as in force at version 1, and 1 had"},
		"a status counts one by the run that had": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			c.StatusMade(5, status(), map[members.ID]uint64{"n0": 1, "n1": 2})
		}, ""},
		"a status names one twice": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			s := status()
			s.Unreachable = s.Behind
			c.StatusMade(5, s, nil)
		}, "names n2 twice"},
		"a status leaves one out": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			s := status()
			s.InForce = 1
			c.StatusMade(5, s, nil)
		}, "1 as in force and 1 others, of 3"},
		"a status reports a version of a controller that it had not applied": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			s := status()
			s.Behind[0].Applied = 7
			c.StatusMade(5, s, nil)
		}, "n2/9 is at version 7"},
		"a status names a controller outside of the fleet": {func(c *Checker) {
			applyAt(c, "n0", "n1", "n2")
			s := status()
			s.Behind[0].ID = "x"
			c.StatusMade(5, s, nil)
		}, "not in the fleet"},
		"a status knows too many": {func(c *Checker) {
			applyAt(c, "n0", "n1")
			s := status()
			s.Members = 4
			c.StatusMade(5, s, nil)
		}, "4 members of 3"},
	} {
		c := NewChecker(fleet)
		test.happens(c)
		if test.broken == "" && c.Broken != "" || test.broken != "" && !strings.Contains(c.Broken, test.broken) {
			t.Errorf("%s: violation %q, want %q", name, c.Broken, test.broken)
		}
	}
}
