package discovery

import (
	"context"
	"time"

	"mintkeel/internal/socket"
)

// minDialTimeout is the minimum timeout of a dial, even if the list is about to expire.
const minDialTimeout = time.Millisecond

// Follow keeps a connection to discovery open until ctx ends, and reports each update after the
// last known one once and in order.
func (w *Watcher) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		connectedAt := time.Now()
		err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.logConnectionEnd(err)
		w.expireIfDue()
		w.backOff(ctx, connectedAt)
	}
}

// logConnectionEnd logs that a connection ended, unless one was logged within LogInterval.
func (w *Watcher) logConnectionEnd(err error) {
	now := time.Now()
	if now.Sub(w.lastLogged) >= w.limits.LogInterval {
		w.lastLogged = now
		w.log.Warn("discovery connection ended", "why", err, "last", w.lastNumber)
	}
}

// backOff waits until DiscoveryRetryDelay has passed since the last connection was opened; after a
// connection that lasted longer it does not wait. The delay does not grow with repeated failures,
// as the list soon expires without a connection.
func (w *Watcher) backOff(ctx context.Context, connectedAt time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(w.limits.DiscoveryRetryDelay - time.Since(connectedAt)):
	}
}

// dial opens a connection to the current address. If the address changes, SetAddress closes it.
func (w *Watcher) dial(ctx context.Context) (*socket.Conn, error) {
	w.mu.Lock()
	address := w.address
	w.addressChanged = false
	w.mu.Unlock()
	timeout := min(w.limits.ConnectTimeout, max(minDialTimeout, time.Until(w.readDeadline())))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialled, err := w.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := socket.NewConn(dialled, w.limits.DiscoveryFrameBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		conn.Close()
		return nil, errAddressChanged
	}
	w.conn = conn
	return conn, nil
}
