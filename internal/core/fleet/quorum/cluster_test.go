package quorum

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// cluster is a set of replicas with their durable records, and the network between them, in virtual
// time.
type cluster struct {
	t        *testing.T
	now      float64 // ms
	members  map[members.ID]*Replica
	records  map[members.ID][]Record        // durable records
	runs     uint64                         // number of starts, the Run of the last one
	lost     func(from, to members.ID) bool // nil: no message is lost
	founders []members.ID
	applied  map[members.ID][]string // commands by member, in the order of their application
}

// newCluster starts a cluster with all members as founders.
func newCluster(t *testing.T, names ...members.ID) *cluster {
	r := &cluster{
		t:        t,
		members:  map[members.ID]*Replica{},
		records:  map[members.ID][]Record{},
		founders: names,
		applied:  map[members.ID][]string{},
	}
	for _, name := range names {
		r.start(name)
	}
	return r
}

// start starts a member, or restarts it, from its records.
func (r *cluster) start(name members.ID) *Replica {
	r.t.Helper()
	r.runs++
	cfg := Config{
		Self:     name,
		Founders: r.founders,
		Run:      r.runs,
		NextDisk: 1000 + r.runs,
		Seed:     int64(r.runs),
	}
	c, err := New(cfg, slices.Clone(r.records[name]), r.now)
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[name] = c
	r.applied[name] = nil
	return c
}

// save makes a record durable, encoded and decoded as in a folder.
func (r *cluster) save(name members.ID, rec *Record) {
	if rec == nil {
		return
	}
	data, err := cbor.Marshal(rec)
	var own Record
	if err == nil {
		err = cbor.Unmarshal(data, &own)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	if own.Full {
		r.records[name] = nil
	}
	r.records[name] = append(r.records[name], own)
}

// run advances the time in steps of 25 ms.
func (r *cluster) run(duration float64) {
	for end := r.now + duration; r.now < end; r.now += 25 {
		for _, name := range slices.Sorted(maps.Keys(r.members)) {
			c := r.members[name]
			c.Tick(r.now)
			if compaction := c.Compact(); compaction != nil {
				r.save(name, compaction)
				c.Compacted(compaction)
			}
			for b := c.Ready(); b != nil; b = c.Ready() {
				r.save(name, b.Record)
				c.Advance(r.now, b)
			}
			for _, a := range c.TakeApplied() {
				r.applied[name] = append(r.applied[name], fmt.Sprint(a.Proposer, a.Ref))
			}
			for _, m := range c.TakeMessages() {
				if to := r.members[m.To.Name]; to != nil && (r.lost == nil || !r.lost(name, m.To.Name)) {
					to.Receive(r.now, name, &m)
				}
			}
		}
	}
}

// leader returns a member that leads.
func (r *cluster) leader() *Replica {
	r.t.Helper()
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if c := r.members[name]; c.Leads() {
			return c
		}
	}
	r.t.Fatal("no member leads, want a leader")
	return nil
}

// propose proposes to declare the lease w<ref>, and runs the cluster until the command is applied.
func (r *cluster) propose(ref uint64) {
	r.t.Helper()
	names := []lease.Name{lease.Name(fmt.Sprint("w", ref))}
	if !r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: names}}) {
		r.t.Fatal("the leader rejects a proposal, want it proposed")
	}
	r.run(500)
}

// expectRole fails the test if a member's role is not want.
func (r *cluster) expectRole(name members.ID, want Role) {
	r.t.Helper()
	if s, reason := r.members[name].Role(); s != want {
		r.t.Errorf("role of %s is %v (%s), want %v", name, s, reason, want)
	}
}

// withNewcomer returns a cluster of three voters with the names of its leader and of the others. The
// cluster also has a controller d that is no member of the quorum.
func withNewcomer(t *testing.T) (r *cluster, leader members.ID, others []members.ID) {
	t.Helper()
	r = newCluster(t, "a", "b", "c")
	newcomer, err := New(Config{Self: "d", Founders: r.founders, Run: 50, NextDisk: 51, Seed: 50}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.members["d"] = newcomer
	r.run(5000)
	leader = r.leader().Incarnation().Name
	for _, name := range r.founders {
		if name != leader {
			others = append(others, name)
		}
	}
	return r, leader, others
}

// elect partitions the leader for a time, repeatedly, until the named member leads.
func (r *cluster) elect(name members.ID) {
	r.t.Helper()
	for range 20 {
		if r.members[name].Leads() {
			return
		}
		leader := r.leader().Incarnation().Name
		r.lost = func(from, to members.ID) bool { return from == leader || to == leader }
		r.run(5000)
		r.lost = nil
		r.run(5000)
	}
	r.t.Fatalf("%s does not lead after 20 elections, want it elected", name)
}

// loseDisk restarts a member with an empty folder.
func (r *cluster) loseDisk(name members.ID) {
	r.t.Helper()
	r.records[name] = nil
	r.start(name)
}

// leads reports whether one of the named members leads.
func (r *cluster) leads(names ...members.ID) bool {
	return slices.ContainsFunc(names, func(name members.ID) bool { return r.members[name].Leads() })
}

// countVoters counts the members with a vote in the second result of Replica.Members.
func countVoters(list []bool) (n int) {
	for _, x := range list {
		if x {
			n++
		}
	}
	return n
}
