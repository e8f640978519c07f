package discovery

import "time"

// expireWithin brings the expiry of the list forward to at most this time from now. mu is held.
func (w *Watcher) expireWithin(d time.Duration) {
	if at := time.Now().Add(d); at.Before(w.expiresAt) {
		w.expiresAt = at
	}
}

// expireIfDue reports the expiry of the list, once, if it is due.
func (w *Watcher) expireIfDue() {
	w.mu.Lock()
	expiresAt := w.expiresAt
	w.mu.Unlock()
	if w.expired || time.Now().Before(expiresAt) {
		return
	}
	w.expired = true
	w.log.Warn("endpoint list expired, as no current frame came from discovery: " +
		"only engines that go on answering get queries")
	w.report(Update{ExpiredFor: w.limits.EndpointListExpiryDisconnected})
}

// readDeadline returns the deadline of the next read: DiscoverySilenceTimeout from now, but not
// after the list expires, so that the expiry is reported in time.
func (w *Watcher) readDeadline() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	deadline := time.Now().Add(w.limits.DiscoverySilenceTimeout)
	if !w.expired && w.expiresAt.Before(deadline) {
		return w.expiresAt
	}
	return deadline
}

// postponeExpiry postpones the expiry after a frame was received, and reports whether it did. It
// does not if the address has changed meanwhile, as discovery may have later updates at the new
// one.
func (w *Watcher) postponeExpiry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		return false
	}
	w.expiresAt = time.Now().Add(w.limits.EndpointListExpiry)
	return true
}
