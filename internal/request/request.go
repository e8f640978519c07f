// Package request holds a query in flight: the one object that the clients' side and the engines' side share. The clients'
// side fills it and waits on it, the controller's loop finishes it, the engines' side reads its statement.
package request

import (
	"sync"
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/router"
)

// Verdict is how a query was answered.
type Verdict int

// The verdicts. A query has None until it is finished.
const (
	None         Verdict = iota
	Succeeded            // with rows
	Rejected             // load shedding: trying again is harmless
	Failed               // no promise
	Disconnected         // its client has gone, and is owed nothing
)

// Answer is a query's final answer.
type Answer struct {
	Verdict Verdict
	Pages   [][]byte      // rows as an engine sent them
	After   time.Duration // with Rejected: how long to stay away; 0: no advice
}

// Query is one that a client wrote whole. The fields above mu don't change once it is posted.
type Query struct {
	Number    router.QueryID // the loop's, set before anyone else has it
	ID        string         // the client's, which goes on unchanged
	Profile   router.ClassID
	Verb      string // the profile's name
	Tenant    router.TenantID
	Unique    string // mark by which a repeat is known; empty: none
	Key       router.OrderingKey
	Estimate  float64
	NeedMB    float64
	Tables    router.TableGroup
	Described *rules.Command  // as rules see it; nil where there can be none
	Kinds     []router.KindID // by the operator's rules; nil: not narrowed
	Zones     []router.Zone
	Hot       bool
	Most      float64
	Statement []byte
	First     bool          // it is the first on its connection
	Read      time.Time     // when its last byte was read
	Left      time.Duration // from then until it must be answered, a little before its client gives up
	Patience  time.Duration // how long clients wait for such a query from when they want it, by the settings

	mu     sync.Mutex
	answer Answer
	wake   func()
}

// OnAnswer has wake called, once, when the answer is there. It must not block.
func (q *Query) OnAnswer(wake func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake = wake
}

// Finish gives the final answer and reports whether it is the first: no later one takes effect, against a second
// answer when a client leaves, a send ends and a timeout passes at one moment.
func (q *Query) Finish(a Answer) bool {
	q.mu.Lock()
	first := q.answer.Verdict == None
	if first {
		q.answer = a
	}
	wake := q.wake
	q.mu.Unlock()
	if first && wake != nil {
		wake()
	}
	return first
}

// Answer is the final answer; its verdict is None until there is one.
func (q *Query) Answer() Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answer
}
