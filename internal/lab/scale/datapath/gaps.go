package datapath

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// meanGap is the mean time between two queries of one client: connections divided by statements per second.
const meanGap = clientCount * time.Second / statementRate

// gapRows measures how many clients per second find that the daemon has closed their connection between two queries. Each
// client sends queries at random times, with the mean rate of a client of the target fleet. All sizes are measured at the
// same time.
func (b *bench) gapRows(ctx context.Context) ([]slope.Row, error) {
	if len(b.gaps) == 0 {
		return nil, nil
	}
	ended := make([]float64, len(b.gaps))
	err := inParallelLimited(len(b.gaps), len(b.gaps), func(i int) (err error) {
		ended[i], err = b.closedConnections(ctx, b.gaps[i])
		return err
	})
	if err != nil {
		return nil, err
	}
	row := slope.Row{Role: controllerRole, Cost: "connections: ended between two queries", Unit: "connections/s",
		Per: "client connections", Condition: "random gaps of 5.18 s on average", Method: methodSockets,
		Note: "the daemon ends a connection after 5 s without a query"}
	for i, n := range b.gaps {
		row.Points = append(row.Points, slope.Point{Size: float64(n), Value: ended[i]})
	}
	return atTargets(row, clientTargets...), nil
}

// closedConnections runs n clients that send queries at random times, and returns how many per second found their
// connection closed.
func (b *bench) closedConnections(ctx context.Context, n int) (float64, error) {
	r, err := b.open(ctx, connectionEngines)
	if err != nil {
		return 0, err
	}
	defer r.close()
	if err := r.connect(ctx, n); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	ended, began := 0, time.Now()
	steady := began.Add(b.gapsSettle) // before then, few connections can have been idle for long enough
	end := steady.Add(b.gapsWindow)
	for range n {
		c := &gapClient{session: <-r.sessions, rng: rand.New(rand.NewSource(r.rng.Int63())), addr: r.daemon.Addr}
		group.Go(func() {
			count := c.run(ctx, steady, end)
			mu.Lock()
			defer mu.Unlock()
			ended += count
		})
	}
	group.Wait()
	return float64(ended) / b.gapsWindow.Seconds(), ctx.Err()
}

// gapClient is a client that sends queries at random times on one connection, which it replaces when it finds it closed.
type gapClient struct {
	session *standin.Client
	rng     *rand.Rand
	addr    string
}

// run sends queries until end and returns the number of connections found closed by queries that were due after countFrom.
func (c *gapClient) run(ctx context.Context, countFrom, end time.Time) (ended int) {
	defer func() { c.session.Close() }()
	draw := rig{rng: c.rng}
	for {
		at := time.Now().Add(time.Duration(c.rng.ExpFloat64() * float64(meanGap)))
		if at.After(end) || ctx.Err() != nil {
			return ended
		}
		time.Sleep(time.Until(at))
		s := draw.drawUsual()
		if _, err := c.session.Query(s.fields, s.text, daemon.Deadline); err == nil {
			continue
		}
		if at.After(countFrom) {
			ended++
		}
		again, err := standin.Dial(ctx, c.addr, daemon.Deadline)
		if err != nil {
			return ended
		}
		c.session.Close()
		c.session = again
		s = draw.drawUsual()
		c.session.Query(s.fields, s.text, daemon.Deadline)
	}
}
