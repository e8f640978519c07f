package router

import "testing"

// Rule 7, at the margins: clocks differ by some ms, so retries count for a little longer than the
// window, and arriving queries for a little less.
func TestRetryBudgetWindowMargins(t *testing.T) {
	const window = 1000.0
	for _, c := range []struct {
		name             string
		retried, arrived float64 // ms ago
		ratio            float64
		allows           bool
	}{
		{"retried within the window", 900, 10, 0, false},
		{"retried just before the window", window + windowSlack/2, 10, 0, false},
		{"retried well before the window", window + 2*windowSlack, 10, 0, true},
		{"arrived just within the window", 10, window - windowSlack/2, 2, false},
		{"arrived well within the window", 10, window - 2*windowSlack, 2, true},
	} {
		limits := slowStartLimits
		limits.RetryBudgeted = true
		limits.RetryBudgetMin = 1
		limits.RetryBudgetRatio = c.ratio
		limits.RetryBudgetWindow = window
		tr := newTestRouter(t, lookupClass, cancelCapabilities, limits)
		if c.ratio > 0 {
			limits.RetryBudgetMin = 0
			tr.r.limits.RetryBudgetMin = 0
		}
		tr.r.retryBudget.retries.add(tr.r.now-c.retried, 1)
		tr.r.retryBudget.queries.add(tr.r.now-c.arrived, 1)
		if tr.r.retryBudgetAllows() != c.allows {
			t.Errorf("%s: a retry is allowed: %v, want the opposite", c.name, !c.allows)
		}
	}
}
