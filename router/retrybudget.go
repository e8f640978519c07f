package router

// retryBudget holds the counts that the retry budget compares.
type retryBudget struct {
	retries slidingWindow // attempts beyond a query's first
	queries slidingWindow // arriving queries
}

// retryBudgetAllows is rule 7: it reports whether one more retry stays within the budget in every
// window that ends now. Retries are counted over a little more than the window and queries over a
// little less, so that the rule holds for clocks that differ by up to windowSlack.
func (r *Router) retryBudgetAllows() bool {
	limits := &r.limits
	if !limits.RetryBudgeted {
		return true
	}
	retries := r.retryBudget.retries.sumSince(r.now - limits.RetryBudgetWindow - windowSlack)
	queries := r.retryBudget.queries.sumSince(r.now - limits.RetryBudgetWindow + windowSlack)
	return retries+1 <= limits.RetryBudgetMin+limits.RetryBudgetRatio*queries
}
