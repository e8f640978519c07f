// Package relay is the daemon's network side without its decisions: each command goes to one engine at once, and its end
// is its client's answer. What a controller costs over it is what deciding costs.
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

// Serve relays until ctx ends. Profiles are named by the commands' verbs, in this order.
func Serve(ctx context.Context, listener net.Listener, dial string, verbs []string, l *limits.Limits) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	events, taken := make(chan any, l.Inbox), make(chan clients.QueryArrived, l.Inbox)
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
