package hollow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mintkeel/internal/core/fleet/lease"
)

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TimeoutError reports a condition that was not met in time.
type TimeoutError struct {
	What    string
	Timeout time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("not met within %v: %s", e.Timeout, e.What)
}

// pollUntil calls a function at an interval until it returns true, an error or the time is over.
func pollUntil(ctx context.Context, timeout, interval time.Duration, what string, met func() (bool, error)) error {
	for end := time.Now().Add(timeout); ; {
		found, err := met()
		if err != nil || found {
			return err
		}
		if time.Now().After(end) {
			return &TimeoutError{What: what, Timeout: timeout}
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// AwaitAllKnown waits until each running controller has seen as many members alive as it was told to expect, and returns
// when the last one had.
func (f *Fleet) AwaitAllKnown(ctx context.Context, timeout time.Duration) (last time.Time, err error) {
	return f.awaitLast(ctx, timeout, "all controllers know all members", nil, func(v View) time.Time { return v.KnownAt })
}

// AwaitLossKnown waits until all running controllers know of a loss, and returns when the last one did.
func (f *Fleet) AwaitLossKnown(ctx context.Context, timeout time.Duration) (last time.Time, err error) {
	return f.awaitLast(ctx, timeout, "all controllers know of the loss", nil, func(v View) time.Time { return v.GoneAt })
}

// awaitLast waits until the views of some controllers, or of all running ones if at is nil, contain a time, and returns the
// latest of these times.
func (f *Fleet) awaitLast(ctx context.Context, timeout time.Duration, what string, at []int, of func(View) time.Time) (last time.Time, err error) {
	const interval = 250 * time.Millisecond
	err = pollUntil(ctx, timeout, interval, what, func() (bool, error) {
		views, err := f.Views()
		if err != nil {
			return false, err
		}
		last = time.Time{}
		for _, v := range views {
			if at != nil && !slices.Contains(at, v.Number) {
				continue
			}
			told := of(v)
			if told.IsZero() {
				return false, nil
			}
			if told.After(last) {
				last = told
			}
		}
		return true, nil
	})
	return last, err
}

// AwaitLeader waits until all running voters vote and report the same running leader, and returns its number and the time
// at which this was observed.
func (f *Fleet) AwaitLeader(ctx context.Context, timeout time.Duration, voters int) (leader int, at time.Time, err error) {
	return f.awaitLeaderAmong(ctx, timeout, nil, voters)
}

// awaitLeaderAmong is AwaitLeader for some voters; nil: all that run.
func (f *Fleet) awaitLeaderAmong(ctx context.Context, timeout time.Duration, among []int, voters int) (leader int, at time.Time, err error) {
	const interval = 20 * time.Millisecond
	err = pollUntil(ctx, timeout, interval, "the voters have a leader", func() (bool, error) {
		standings, err := f.QuorumViews()
		if among != nil {
			standings = slices.DeleteFunc(standings, func(s QuorumView) bool { return !slices.Contains(among, s.Number) })
		}
		if err != nil || len(standings) < voters {
			return false, err
		}
		leader, at = -1, time.Now()
		for _, s := range standings {
			if !s.Votes || s.Leader != standings[0].Leader {
				return false, nil
			}
			if s.Leader == string(name(s.Number)) {
				leader = s.Number
			}
		}
		return leader >= 0, nil
	})
	return leader, at, err
}

// AwaitHolder waits until a lease has a holder whose fencing token is higher than above, and returns the holder and its grant.
func (f *Fleet) AwaitHolder(ctx context.Context, timeout time.Duration, leaseName lease.Name, above lease.Token) (holder int, grant Grant, err error) {
	const interval = 50 * time.Millisecond
	err = pollUntil(ctx, timeout, interval, fmt.Sprintf("%s has a holder", leaseName), func() (bool, error) {
		views, err := f.Views()
		if err != nil {
			return false, err
		}
		grant = Grant{Token: above}
		for _, v := range views {
			if !slices.Contains(v.Holds, leaseName) {
				continue
			}
			for _, g := range v.Grants {
				if g.Lease == leaseName && g.Token > grant.Token {
					holder, grant = v.Number, g
				}
			}
		}
		return grant.Token > above, nil
	})
	return holder, grant, err
}
