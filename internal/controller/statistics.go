package controller

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"mintkeel/internal/memory"
	"mintkeel/router"
)

// restoreFunc returns the part of stored statistics that is valid for the current endpoints.
type restoreFunc = func(endpoints []router.Endpoint) router.Statistics

// RestoreOnFirstEndpoints restores statistics of an earlier run at the first endpoint update that
// names engines: restore is called with these endpoints. It must be called before UpdateEndpoints
// and Run.
func (l *Loop) RestoreOnFirstEndpoints(restore restoreFunc) { l.restore = restore }

// RestoreStatistics restores statistics that were received while this controller runs. restore is
// called by the loop's goroutine with the current endpoint list, sorted by engine.
// RestoreStatistics needs KeepEndpoints, and waits while the inbox is full.
func (l *Loop) RestoreStatistics(restore restoreFunc) { l.post(restoreMessage{restore}) }

// restoreStatistics passes the statistics that are valid for the kept endpoint list to the module.
func (l *Loop) restoreStatistics(restore restoreFunc) {
	endpoints := slices.Collect(maps.Values(l.endpoints))
	slices.SortFunc(endpoints, func(a, b router.Endpoint) int {
		return cmp.Compare(a.Engine, b.Engine)
	})
	l.events = append(l.events, router.StatisticsRestored{Statistics: restore(endpoints)})
}

// Statistics returns a part of the module's statistics. It has at most maxRecords records, which
// bounds how long the copy delays queries. The error is that of ctx, even if the loop has ended.
func (l *Loop) Statistics(
	ctx context.Context, from router.Cursor, maxRecords int,
) (memory.Part, error) {
	reply := make(chan memory.Part, 1)
	return call(ctx, l, statisticsRequest{from, maxRecords, reply}, reply)
}

// statistics copies a part of the module's statistics.
func (l *Loop) statistics(from router.Cursor, maxRecords int) memory.Part {
	var part memory.Part
	part.Statistics, part.Next, part.More = l.module.Statistics(from, maxRecords)
	return part
}

// EngineStatuses returns the module's state of all engines. The error is that of ctx, even if the
// loop has ended.
func (l *Loop) EngineStatuses(ctx context.Context) ([]router.EngineStatus, error) {
	reply := make(chan []router.EngineStatus, 1)
	return call(ctx, l, engineStatusesRequest{reply}, reply)
}

// engineStatuses returns the module's state of all engines together with their states in the
// endpoint list, which differ for held engines.
func (l *Loop) engineStatuses() []router.EngineStatus {
	statuses := l.module.EngineStatuses()
	for i := range statuses {
		if endpoint, ok := l.endpoints[statuses[i].Engine]; ok {
			statuses[i].ListedState = endpoint.State
		}
	}
	return statuses
}

// call posts a request and waits for its reply, until ctx ends.
func call[T any](ctx context.Context, l *Loop, request message, reply <-chan T) (T, error) {
	var zero T
	select {
	case l.inbox <- request:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
