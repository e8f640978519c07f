package router

// retryBudget has the attempts and queries that the retry budget counts.
type retryBudget struct {
	retries slidingWindow // attempts beyond a query's first
	queries slidingWindow // queries taken
}

// retryBudgetAllows counts resends over a little more, and commands taken over a little less, than the
// window.
func (r *Router) retryBudgetAllows() bool {
	g := r.limits
	return !g.RetryBudgeted || r.retryBudget.retries.sumSince(r.now-g.RetryBudgetWindow-windowSlack)+1 <=
		g.RetryBudgetMin+g.RetryBudgetRatio*r.retryBudget.queries.sumSince(r.now-g.RetryBudgetWindow+windowSlack)
}
