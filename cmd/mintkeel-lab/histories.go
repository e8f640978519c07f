package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
)

// minControllers is the smallest fleet size drawn from a seed.
const minControllers = 3

// historyOptions select the histories of a fleet to run. Each history has a size and a seed, from
// which its faults are drawn.
type historyOptions struct {
	count       int
	controllers int // of each fleet; 0: drawn from the seed
	faults      int // per history
	parallel    int // histories that run at a time
	firstSeed   int64
	keepGoing   bool // run all histories even if some fail
	verbose     bool // print each fault as it happens
}

// controllersOf returns the fleet size for a seed: the given one or, if there is none, one of
// sizes consecutive sizes from minControllers up.
func (o *historyOptions) controllersOf(seed, sizes int64) int {
	if o.controllers > 0 {
		return o.controllers
	}
	return minControllers + int(seed%sizes)
}

// play runs all histories, some at a time, until one returns an error or the context ends.
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

// failureLog counts the failed histories when keepGoing is set. Calls of its methods must not
// overlap.
type failureLog struct {
	keepGoing bool
	out       io.Writer // failures are printed here
	count     int
}

// add records the failure of a history. It returns the failure if no further history is to run.
func (l *failureLog) add(failure error) error {
	if !l.keepGoing {
		return failure
	}
	l.count++
	fmt.Fprintln(l.out, failure)
	return nil
}

// result returns the overall error of the histories, given the error that ended them early or nil.
func (l *failureLog) result(err error, histories int) error {
	if err == nil && l.count > 0 {
		return fmt.Errorf("%d of %d histories failed", l.count, histories)
	}
	return err
}

// eventLog records the events of one history, which are printed if the history fails.
type eventLog struct {
	verbose io.Writer // receives each line as it is added; nil: disabled
	mu      sync.Mutex
	lines   []string
}

// newEventLog creates the log of one history, which also writes to out if verbose is set.
func (o *historyOptions) newEventLog(out io.Writer) *eventLog {
	if !o.verbose {
		return &eventLog{}
	}
	return &eventLog{verbose: out}
}

// add appends a line.
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
