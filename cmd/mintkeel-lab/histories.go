package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
)

// minControllers is the least number of controllers of a fleet with a size drawn from a seed.
const minControllers = 3

// historyOptions say which histories of a fleet are played: each has a seed, from which its
// faults are drawn, and a size.
type historyOptions struct {
	count       int
	controllers int // of each fleet; 0: drawn from the seed
	faults      int // of each history
	parallel    int // histories at a time
	firstSeed   int64
	keepGoing   bool // play all histories, whatever fails
	verbose     bool // print each fault as it happens
}

// controllersOf is the size of the fleet of one seed. A drawn size is one of so many sizes, from
// minControllers up.
func (o *historyOptions) controllersOf(seed, sizes int64) int {
	if o.controllers > 0 {
		return o.controllers
	}
	return minControllers + int(seed%sizes)
}

// play plays all histories, some at a time, until one returns an error or the context ends.
func (o *historyOptions) play(ctx context.Context, playOne func(seed int64) error) error {
	var started atomic.Int64
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	for range max(1, o.parallel) {
		group.Go(func() {
			for {
				i := started.Add(1) - 1
				mu.Lock()
				stop := failed != nil
				mu.Unlock()
				if i >= int64(o.count) || stop || ctx.Err() != nil {
					return
				}
				if err := playOne(o.firstSeed + i); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	if failed == nil {
		failed = ctx.Err()
	}
	return failed
}

// failureLog counts the histories that broke, where the others are played nevertheless. Calls of
// its methods must not overlap.
type failureLog struct {
	keepGoing bool
	out       io.Writer // failures are printed here
	count     int
}

// add takes in that a history broke. It returns the failure if no other history is to be played.
func (l *failureLog) add(failure error) error {
	if !l.keepGoing {
		return failure
	}
	l.count++
	fmt.Fprintln(l.out, failure)
	return nil
}

// result is the error of all histories, given the one that ended them early, if any.
func (l *failureLog) result(err error, histories int) error {
	if err == nil && l.count > 0 {
		return fmt.Errorf("%d of %d histories failed", l.count, histories)
	}
	return err
}

// eventLog keeps what happened in one history, which is printed if the history breaks.
type eventLog struct {
	verbose io.Writer // gets each line as it happens; nil: none
	mu      sync.Mutex
	lines   []string
}

// newEventLog makes the log of one history.
func (o *historyOptions) newEventLog(out io.Writer) *eventLog {
	if !o.verbose {
		return &eventLog{}
	}
	return &eventLog{verbose: out}
}

// add takes in a line.
func (l *eventLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	if l.verbose != nil {
		fmt.Fprintln(l.verbose, line)
	}
}

func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}
