package discovery

import (
	"context"
	"net"
	"time"
)

// minDialTimeout is the least time that a dial is given, also when the list is about to expire.
const minDialTimeout = time.Millisecond

// Follow keeps a connection open until ctx ends, and reports each update after the last known one,
// in order and once.
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

// backOff waits until DiscoveryRetryDelay has passed since the last connection was begun, which is
// no wait after one that lasted longer. The delay does not grow with further failures, as the list
// soon expires without a connection.
func (w *Watcher) backOff(ctx context.Context, connectedAt time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(w.limits.DiscoveryRetryDelay - time.Since(connectedAt)):
	}
}

// dial opens a connection to the current address. SetAddress closes it if the address changes.
func (w *Watcher) dial(ctx context.Context) (net.Conn, error) {
	w.mu.Lock()
	address := w.address
	w.addressChanged = false
	w.mu.Unlock()
	timeout := min(w.limits.ConnectTimeout, max(minDialTimeout, time.Until(w.readDeadline())))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := w.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		conn.Close()
		return nil, errAddressChanged
	}
	w.conn = conn
	return conn, nil
}
