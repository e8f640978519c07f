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
	room := newLimiter(max(targetControllers, slices.Max(m.Sizes)))
	var errs []error
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, size := range m.Sizes {
		for _, measure := range []func(context.Context, int) error{m.measureFullStart, m.measurePartialStart} {
			room.acquire(size)
			group.Go(func() {
				defer room.release(size)
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
	return rows, errors.Join(append(errs, m.timeouts...)...)
}

// recordTimeout reports whether an error is a TimeoutError. If so, it keeps the error for the end of the run, so that the rest
// can be measured.
func (m *measurement) recordTimeout(size int, err error) bool {
	var late *TimeoutError
	if !errors.As(err, &late) {
		return false
	}
	m.Logf("%d controllers: %v", size, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeouts = append(m.timeouts, fmt.Errorf("%d controllers: %w", size, err))
	return true
}

// measureFullStart starts all controllers of a fleet at once, measures it at rest, and then kills its leader and the holder of
// a lease.
func (m *measurement) measureFullStart(ctx context.Context, size int) error {
	voters := min(m.Voters, size-2) | 1
	f, err := m.open(ctx, Spec{Controllers: size, Voters: voters, Leases: leasesAtRest, Configured: true})
	if err != nil {
		return err
	}
	defer f.Close()
	began := time.Now()
	if err := f.Start(numberRange(0, size), size); err != nil {
		return err
	}
	last, err := f.AwaitAllKnown(ctx, knownTimeout)
	if err != nil && !m.recordTimeout(size, err) {
		return err
	}
	if err == nil {
		m.record(size, "start/known", milliseconds(last.Sub(began)))
		m.Logf("%d controllers: all know all members after %v", size, last.Sub(began).Round(time.Millisecond))
	}
	if err := m.recordMedian(f, size, "start", began); err != nil {
		return err
	}
	samples, err := f.Samples()
	if err != nil {
		return err
	}
	m.recordStart(samples, size, "start")
	if err := sleep(ctx, m.settle); err != nil {
		return err
	}
	leader, interval, err := m.measureWithOneLeader(ctx, f, voters)
	if err != nil {
		return err
	}
	m.recordRest(interval, size, voters, leader)
	lost := time.Now()
	if err := m.killLeader(ctx, f, size, voters, leader, "leader/free"); err != nil {
		return err
	}
	if err := m.killHolder(ctx, f, size); err != nil || !m.deaths {
		return err
	}
	last, err = f.AwaitLossKnown(ctx, knownTimeout)
	if err != nil {
		if m.recordTimeout(size, err) {
			return nil
		}
		return err
	}
	m.record(size, "loss/known", milliseconds(last.Sub(lost)))
	m.Logf("%d controllers: the loss of n%d was known to all after %v", size, leader, last.Sub(lost).Round(time.Millisecond))
	return nil
}

// recordRest records the resource usage of a fleet at rest.
func (m *measurement) recordRest(interval Interval, size, voters, leader int) {
	followers := slices.DeleteFunc(numberRange(0, voters), func(n int) bool { return n == leader })
	m.recordUsage(size, "leader", interval.Mean(leader))
	m.recordUsage(size, "voter", interval.Mean(followers...))
	m.recordUsage(size, "controller", interval.Mean(voters))
	m.recordUsage(size, "packed", interval.Mean(numberRange(voters+1, size)...))
	m.Logf("%d controllers at rest: controller %+.0f", size, interval.Mean(voters))
}

// recordMedian records the time until half of the controllers knew all members.
func (m *measurement) recordMedian(f *Fleet, size int, when string, began time.Time) error {
	views, err := f.Views()
	if err != nil {
		return err
	}
	behind, fewest, most := 0, size, 0
	took := make([]float64, len(views))
	for i, v := range views {
		took[i] = milliseconds(v.KnownAt.Sub(began))
		if v.KnownAt.IsZero() {
			took[i] = math.Inf(1)
			behind++
			fewest, most = min(fewest, v.Alive), max(most, v.Alive)
		}
	}
	slices.Sort(took)
	if median := took[len(took)/2]; !math.IsInf(median, 1) {
		m.record(size, when+"/median", median)
	}
	if behind > 0 {
		m.Logf("%d controllers, %s: %d of %d controllers do not know all members, but %d to %d of them", size, when, behind, len(views), fewest, most)
	}
	return nil
}

// recordStart records the connections and messages refused and dropped during a start, and the peak of connections at voters.
func (m *measurement) recordStart(samples []Sample, size int, when string) {
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
	m.record(size, when+"/refused", refused)
	m.record(size, when+"/peak", peak)
	m.record(size, when+"/dropped", dropped)
	if problem != "" {
		m.Logf("%d controllers: an error was logged: %s", size, problem)
	}
}

// killLeader stops the leader as a crash would, and records for how long there is no leader.
func (m *measurement) killLeader(ctx context.Context, f *Fleet, size, voters, leader int, figure string) error {
	if err := f.AwaitLoss(leader); err != nil {
		return err
	}
	lost := time.Now()
	if err := f.Stop([]int{leader}); err != nil {
		return err
	}
	next, found, err := f.AwaitLeader(ctx, leaderTimeout, voters-1)
	if err != nil {
		return err
	}
	m.record(size, figure, milliseconds(found.Sub(lost)))
	m.Logf("%d controllers: n%d leads %v after the leader n%d was killed", size, next, found.Sub(lost).Round(time.Millisecond), leader)
	return nil
}

// killHolder stops the holder of a lease as a crash would, and records for how long there is no holder.
func (m *measurement) killHolder(ctx context.Context, f *Fleet, size int) error {
	of := lease.Name("lease-00")
	holder, grant, err := f.AwaitHolder(ctx, knownTimeout, of, 0)
	if err != nil {
		return err
	}
	lost := time.Now()
	if err := f.Stop([]int{holder}); err != nil {
		return err
	}
	next, granted, err := f.AwaitHolder(ctx, knownTimeout, of, grant.Token)
	if err != nil {
		return err
	}
	m.record(size, "holder/free", milliseconds(granted.At.Sub(lost)))
	m.Logf("%d controllers: n%d holds %s %v after its holder n%d was killed", size, next, of, granted.At.Sub(lost).Round(time.Millisecond), holder)
	return nil
}

// measurePartialStart starts a part of the fleet first and then the rest at once. After that it restarts a zone.
func (m *measurement) measurePartialStart(ctx context.Context, size int) error {
	voters := min(m.Voters, size-2) | 1
	first := max(voters+1, int(float64(size)*initialShare))
	f, err := m.open(ctx, Spec{Controllers: size, Voters: voters, Leases: leasesAtRest, Configured: true})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(numberRange(0, first), first); err != nil {
		return err
	}
	if _, err := f.AwaitAllKnown(ctx, knownTimeout); err != nil && !m.recordTimeout(size, err) {
		return err
	}
	if err := sleep(ctx, m.settle); err != nil {
		return err
	}
	if err := f.AwaitMembers(size); err != nil {
		return err
	}
	err = m.measureMassStart(ctx, f, size, voters, "part", func() error { return f.Start(numberRange(first, size), size) })
	if err != nil {
		return err
	}
	if err := sleep(ctx, m.settle); err != nil {
		return err
	}
	if m.puts > 0 {
		if err := m.putDocuments(ctx, f, size); err != nil {
			return err
		}
	}
	zone := numberRange(size-max(1, int(float64(size)*zoneShare)), size)
	if err := f.AwaitRestarts(ctx, size, zone); err != nil {
		return err
	}
	return m.measureMassStart(ctx, f, size, voters, "zone", func() error {
		if err := f.Stop(zone); err != nil {
			return err
		}
		return f.Start(zone, size)
	})
}

// measureMassStart starts many controllers at once with begin. It records when all know all members, the effect on the
// voters, and the mean cost until then or for a window, whichever is longer.
func (m *measurement) measureMassStart(ctx context.Context, f *Fleet, size, voters int, figure string, begin func() error) error {
	before, err := f.Samples()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := begin(); err != nil {
		return err
	}
	last, err := f.AwaitAllKnown(ctx, knownTimeout)
	if err != nil && !m.recordTimeout(size, err) {
		return err
	}
	took := last.Sub(began)
	if err == nil {
		m.record(size, figure+"/known", milliseconds(took))
		m.Logf("%d controllers, %s: all know all members after %v", size, figure, took.Round(time.Millisecond))
	}
	if err := m.recordMedian(f, size, figure, began); err != nil {
		return err
	}
	if err := sleep(ctx, m.window-time.Since(began)); err != nil {
		return err
	}
	after, err := f.Samples()
	if err != nil {
		return err
	}
	m.recordStart(after, size, figure)
	interval := Interval{f.layout(), before, after}
	for role, of := range map[string][]int{"voter": numberRange(0, voters), "controller": {voters}} {
		spent := interval.Mean(of...)
		m.record(size, figure+"/"+role+"/bytes", spent.Sent+spent.Received)
		m.record(size, figure+"/"+role+"/cores", spent.Processor)
	}
	return nil
}
