package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/settings"
	"mintkeel/internal/socket"
)

// errAddressChanged ends a connection to an address that has been replaced.
var errAddressChanged = errors.New("the address of discovery changed")

// Watcher watches the endpoint list at the address of discovery.
type Watcher struct {
	names  *settings.Names
	limits *limits.Limits
	report func(Update) // may block
	log    *slog.Logger

	// dialContext is net.Dialer.DialContext; tests replace it.
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)

	// Owned by the goroutine of Follow:
	lastNumber uint64    // of the last update that is known
	expired    bool      // the list has expired, and no current frame was received since
	lastLogged time.Time // when the end of a connection was last logged

	mu             sync.Mutex // guards all below
	address        string
	conn           *socket.Conn // nil: not connected
	addressChanged bool         // since the last dial began
	expiresAt      time.Time    // when the list expires, unless something is received
}

// NewWatcher returns a watcher that knows all updates up to lastNumber. Updates are passed to
// report, which may block its caller.
func NewWatcher(
	address string, lastNumber uint64, names *settings.Names, l *limits.Limits,
	report func(Update), log *slog.Logger,
) *Watcher {
	return &Watcher{
		names:       names,
		limits:      l,
		report:      report,
		log:         log,
		dialContext: new(net.Dialer).DialContext,
		lastNumber:  lastNumber,
		address:     address,
		expiresAt:   time.Now().Add(l.EndpointListExpiry),
	}
}

// SetAddress changes the address of discovery. The watcher continues there from the last update.
// The connection to the old address is closed at once, as its updates no longer count.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	w.addressChanged = true
	w.expireWithin(w.limits.EndpointListExpiry)
	if w.conn != nil {
		w.conn.Close()
	}
}

// HasInput reports whether a frame that has arrived is not handled yet.
func (w *Watcher) HasInput() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil && w.conn.HasInput()
}
