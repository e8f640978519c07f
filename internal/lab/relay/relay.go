// Package relay runs the daemon's network side without its decisions, as a baseline: each query goes to one engine at
// once, and the outcome of its attempt is the answer to its client. The cost of a controller beyond that of the relay is
// the cost of its decisions.
package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/engines"
	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

const engine router.EngineID = "engine"

// Serve relays queries to the engine at the address dial until ctx is done. verbs are the names of the query classes on
// the wire, in the order of their ids.
func Serve(ctx context.Context, listener net.Listener, dial string, verbs []string, l *limits.Limits) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	events, taken := make(chan any, l.EventQueueLength), make(chan clients.QueryArrived, l.EventQueueLength)
	names := &settings.Names{Classes: map[string]router.ClassID{}}
	for i, verb := range verbs {
		names.Classes[verb] = router.ClassID(i)
	}
	pool := engines.New(l, 100, func(ev engines.Event) { events <- ev }, log)
	pool.UpdateEndpoints([]engines.Endpoint{{Engine: engine, Address: dial}}, true)
	server := clients.New(l, names, make([]router.QueryClass, len(verbs)), func(t clients.QueryArrived) bool {
		taken <- t
		return true
	}, func() time.Duration { return 0 }, func(ev clients.Event) { events <- ev }, log)
	go server.Serve(listener)
	defer pool.Close()
	defer server.Close()
	for {
		select {
		case <-ctx.Done():
			return listener.Close()
		case t := <-taken:
			pool.StartAttempt(t.Query, 0, engine, t.Query.TimeLeft, 0)
		case ev := <-events:
			if end, ok := ev.(engines.AttemptEnded); ok {
				verdict := request.Rejected
				if end.Outcome == router.Succeeded {
					verdict = request.Succeeded
				}
				end.Query.Finish(request.Answer{Verdict: verdict, Pages: end.Pages})
			}
		}
	}
}
