package hollow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/lab/scale/slope"
)

func (m *measurement) sizes(ctx context.Context) ([]slope.Row, error) {
	room := newRoom(max(targetControllers, slices.Max(m.Sizes)))
	var errs []error
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, size := range m.Sizes {
		for _, measure := range []func(context.Context, int) error{m.wholeStart, m.partStart} {
			room.take(size)
			group.Go(func() {
				defer room.give(size)
				if err := measure(ctx, size); err != nil {
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, fmt.Errorf("%d controllers: %w", size, err))
				}
			})
		}
	}
	group.Wait()
	var rows []slope.Row
	for _, r := range slices.Concat(sizeRows(), putRows()) {
		r.row.Points, r.row.Per, r.row.Method, r.row.Target = m.points(r.figure), "controllers", "sockets", targetControllers
		if len(r.row.Points) > 0 {
			rows = append(rows, r.row)
		}
	}
	return rows, errors.Join(append(errs, m.late...)...)
}

// isLate tells whether an error is of something that was awaited in vain. It is told at the end; the rest can be measured.
func (m *measurement) isLate(size int, err error) bool {
	var late *LateError
	if !errors.As(err, &late) {
		return false
	}
	m.Tell("%d controllers: %v", size, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = append(m.late, fmt.Errorf("%d controllers: %w", size, err))
	return true
}

// wholeStart starts a fleet at once, watches it at rest, and takes its leader and a lease's holder from it.
func (m *measurement) wholeStart(ctx context.Context, size int) error {
	voters := min(m.Voters, size-2) | 1
	f, err := m.open(ctx, Spec{Controllers: size, Voters: voters, Leases: leasesAtRest, Configured: true})
	if err != nil {
		return err
	}
	defer f.Close()
	began := time.Now()
	if err := f.Start(numbers(0, size), size); err != nil {
		return err
	}
	last, err := f.AwaitAllKnown(ctx, knownWithin)
	if err != nil && !m.isLate(size, err) {
		return err
	}
	if err == nil {
		m.note(size, "start/known", milliseconds(last.Sub(began)))
		m.Tell("%d controllers: all know all after %v", size, last.Sub(began).Round(time.Millisecond))
	}
	if err := m.noteMedian(f, size, "start", began); err != nil {
		return err
	}
	samples, err := f.Samples()
	if err != nil {
		return err
	}
	m.noteRush(samples, size, "start")
	if err := pause(ctx, m.settle); err != nil {
		return err
	}
	leader, interval, err := m.watchLed(ctx, f, voters)
	if err != nil {
		return err
	}
	m.noteRest(interval, size, voters, leader)
	lost := time.Now()
	if err := m.loseLeader(ctx, f, size, voters, leader, "leader/free"); err != nil {
		return err
	}
	if err := m.loseHolder(ctx, f, size); err != nil || !m.deaths {
		return err
	}
	last, err = f.AwaitLossKnown(ctx, knownWithin)
	if err != nil {
		if m.isLate(size, err) {
			return nil
		}
		return err
	}
	m.note(size, "loss/known", milliseconds(last.Sub(lost)))
	m.Tell("%d controllers: the loss of n%d was known to all after %v", size, leader, last.Sub(lost).Round(time.Millisecond))
	return nil
}

// noteRest notes what a fleet spent at rest.
func (m *measurement) noteRest(interval Interval, size, voters, leader int) {
	followers := slices.DeleteFunc(numbers(0, voters), func(n int) bool { return n == leader })
	m.noteSpending(size, "leader", interval.Of(leader))
	m.noteSpending(size, "voter", interval.Of(followers...))
	m.noteSpending(size, "controller", interval.Of(voters))
	m.noteSpending(size, "packed", interval.Of(numbers(voters+1, size)...))
	m.Tell("%d controllers at rest: controller %+.0f", size, interval.Of(voters))
}

// noteMedian notes after how long half of the controllers knew all.
func (m *measurement) noteMedian(f *Fleet, size int, when string, began time.Time) error {
	views, err := f.Views()
	if err != nil {
		return err
	}
	unknowing, fewest, most := 0, size, 0
	took := make([]float64, len(views))
	for i, v := range views {
		took[i] = milliseconds(v.KnownAt.Sub(began))
		if v.KnownAt.IsZero() {
			took[i] = math.Inf(1)
			unknowing++
			fewest, most = min(fewest, v.Alive), max(most, v.Alive)
		}
	}
	slices.Sort(took)
	if median := took[len(took)/2]; !math.IsInf(median, 1) {
		m.note(size, when+"/median", median)
	}
	if unknowing > 0 {
		m.Tell("%d controllers, %s: %d of %d do not know all, but %d to %d", size, when, unknowing, len(views), fewest, most)
	}
	return nil
}

// noteRush notes what a start did to the voters.
func (m *measurement) noteRush(samples []Sample, size int, when string) {
	refused, peak, dropped, problem := 0.0, 0.0, 0.0, ""
	for _, s := range samples {
		for _, u := range s.Controllers {
			refused += float64(u.Refused)
			dropped += float64(u.Dropped)
			peak = max(peak, float64(u.PeakIn))
			if problem == "" {
				problem = u.FirstProblem
			}
		}
	}
	m.note(size, when+"/refused", refused)
	m.note(size, when+"/peak", peak)
	m.note(size, when+"/dropped", dropped)
	if problem != "" {
		m.Tell("%d controllers: an error was logged: %s", size, problem)
	}
}

// loseLeader ends the leader, and notes for how long none leads.
func (m *measurement) loseLeader(ctx context.Context, f *Fleet, size, voters, leader int, figure string) error {
	if err := f.AwaitLoss(leader); err != nil {
		return err
	}
	lost := time.Now()
	if err := f.Stop([]int{leader}); err != nil {
		return err
	}
	next, found, err := f.AwaitLeader(ctx, leaderWithin, voters-1)
	if err != nil {
		return err
	}
	m.note(size, figure, milliseconds(found.Sub(lost)))
	m.Tell("%d controllers: n%d leads %v after n%d", size, next, found.Sub(lost).Round(time.Millisecond), leader)
	return nil
}

// loseHolder ends the holder of a lease.
func (m *measurement) loseHolder(ctx context.Context, f *Fleet, size int) error {
	of := lease.Name("lease-00")
	holder, grant, err := f.AwaitHolder(ctx, knownWithin, of, 0)
	if err != nil {
		return err
	}
	lost := time.Now()
	if err := f.Stop([]int{holder}); err != nil {
		return err
	}
	next, granted, err := f.AwaitHolder(ctx, knownWithin, of, grant.Token)
	if err != nil {
		return err
	}
	m.note(size, "holder/free", milliseconds(granted.At.Sub(lost)))
	m.Tell("%d controllers: n%d holds %s %v after n%d", size, next, of, granted.At.Sub(lost).Round(time.Millisecond), holder)
	return nil
}

// partStart has a part of the fleet run, and starts the rest at once. Then a zone restarts.
func (m *measurement) partStart(ctx context.Context, size int) error {
	voters := min(m.Voters, size-2) | 1
	first := max(voters+1, int(float64(size)*partOfTarget))
	f, err := m.open(ctx, Spec{Controllers: size, Voters: voters, Leases: leasesAtRest, Configured: true})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(numbers(0, first), first); err != nil {
		return err
	}
	if _, err := f.AwaitAllKnown(ctx, knownWithin); err != nil && !m.isLate(size, err) {
		return err
	}
	if err := pause(ctx, m.settle); err != nil {
		return err
	}
	if err := f.AwaitMembers(size); err != nil {
		return err
	}
	err = m.rush(ctx, f, size, voters, "part", func() error { return f.Start(numbers(first, size), size) })
	if err != nil {
		return err
	}
	if err := pause(ctx, m.settle); err != nil {
		return err
	}
	if m.puts > 0 {
		if err := m.putDocuments(ctx, f, size); err != nil {
			return err
		}
	}
	zone := numbers(size-max(1, int(float64(size)*zoneOfTarget)), size)
	if err := f.AwaitRestarts(ctx, size, zone); err != nil {
		return err
	}
	return m.rush(ctx, f, size, voters, "zone", func() error {
		if err := f.Stop(zone); err != nil {
			return err
		}
		return f.Start(zone, size)
	})
}

// rush has many controllers begin at once, and notes when all know of it, what it did to the voters and what the time
// until then, or a window after it, cost.
func (m *measurement) rush(ctx context.Context, f *Fleet, size, voters int, figure string, begin func() error) error {
	before, err := f.Samples()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := begin(); err != nil {
		return err
	}
	last, err := f.AwaitAllKnown(ctx, knownWithin)
	if err != nil && !m.isLate(size, err) {
		return err
	}
	took := last.Sub(began)
	if err == nil {
		m.note(size, figure+"/known", milliseconds(took))
		m.Tell("%d controllers, %s: all know all after %v", size, figure, took.Round(time.Millisecond))
	}
	if err := m.noteMedian(f, size, figure, began); err != nil {
		return err
	}
	if err := pause(ctx, m.window-time.Since(began)); err != nil {
		return err
	}
	after, err := f.Samples()
	if err != nil {
		return err
	}
	m.noteRush(after, size, figure)
	interval := Interval{f.layout(), before, after}
	for role, of := range map[string][]int{"voter": numbers(0, voters), "controller": {voters}} {
		spent := interval.Of(of...)
		m.note(size, figure+"/"+role+"/bytes", spent.Sent+spent.Received)
		m.note(size, figure+"/"+role+"/cores", spent.Processor)
	}
	return nil
}
