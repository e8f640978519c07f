package discovery

import "time"

// expireWithin has the list expire after this time, unless it expires earlier already. mu is held.
func (w *Watcher) expireWithin(d time.Duration) {
	if at := time.Now().Add(d); at.Before(w.expiresAt) {
		w.expiresAt = at
	}
}

// expireIfDue reports, once, that the list has expired, if it has.
func (w *Watcher) expireIfDue() {
	w.mu.Lock()
	expiresAt := w.expiresAt
	w.mu.Unlock()
	if w.expired || time.Now().Before(expiresAt) {
		return
	}
	w.expired = true
	w.log.Warn("nothing heard from discovery for too long: " +
		"only engines that go on answering get queries")
	w.report(Update{ExpiredFor: w.limits.EndpointListExpiryDisconnected})
}

// readDeadline is until when a connection may be silent: for DiscoverySilenceTimeout, but not past
// the time at which the list expires, so that the expiry is reported in time.
func (w *Watcher) readDeadline() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	deadline := time.Now().Add(w.limits.DiscoverySilenceTimeout)
	if !w.expired && w.expiresAt.Before(deadline) {
		return w.expiresAt
	}
	return deadline
}

// postponeExpiry postpones the expiry, as something was received, and reports whether that counts: not if
// the address has changed since, as the new one may have later updates.
func (w *Watcher) postponeExpiry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		return false
	}
	w.expiresAt = time.Now().Add(w.limits.EndpointListExpiry)
	return true
}
