package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"mintkeel/internal/socket"
)

// watch opens a connection and reads updates from it until it ends.
func (w *Watcher) watch(ctx context.Context) error {
	conn, err := w.dial(ctx)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	err = w.readUpdates(conn)
	return w.disconnect(conn, err)
}

// readUpdates requests all updates after the last one, and reports them until the connection ends.
// The error is the reason.
func (w *Watcher) readUpdates(conn *socket.Conn) error {
	w.expireIfDue() // an expiry during the dial is no reason to drop the connection
	request := net.Buffers{binary.BigEndian.AppendUint64(nil, w.lastNumber)}
	writeBy := time.Now().Add(w.limits.DiscoverySilenceTimeout)
	if _, err := conn.WriteBuffers(&request, writeBy); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(w.readDeadline())
		update, changed, err := ReadFrame(r, w.limits.DiscoveryFrameBytes, w.names)
		if err != nil {
			return err
		}
		if err := w.handleFrame(update, changed); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. Its error ends the connection: an update was skipped, or the
// address has changed.
func (w *Watcher) handleFrame(update Update, changed bool) error {
	next := w.lastNumber + 1
	if update.Number > next && !update.Complete || update.Number == next && !changed {
		return fmt.Errorf("%w: number %d after %d", ErrMalformed, update.Number, w.lastNumber)
	}
	if update.Number < w.lastNumber {
		// The frame is older than the last update: it does not confirm that update, and so does not end
		// an expiry.
		return nil
	}
	if !w.postponeExpiry() {
		return errAddressChanged
	}
	switch {
	case changed && update.Number > w.lastNumber:
		w.lastNumber = update.Number
		w.report(update)
	case w.expired:
		w.report(Update{Number: w.lastNumber})
	}
	w.expired = false
	return nil
}

// disconnect closes a connection that ended with err, and returns the reason. After a connection
// broke, the list expires within EndpointListExpiryDisconnected. After a connection fell silent it
// does not, as EndpointListExpiry covers that case.
func (w *Watcher) disconnect(conn *socket.Conn, err error) error {
	conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	if w.addressChanged {
		return errAddressChanged
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		w.expireWithin(w.limits.EndpointListExpiryDisconnected)
	}
	return err
}
