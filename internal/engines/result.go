package engines

import (
	"bytes"

	"mintkeel/internal/enginewire"
	"mintkeel/router"
)

// handlePage handles a page of a result. The first page has the number of pages; all others are
// then requested at once. The attempt succeeds when all pages were received, in any order. mu is
// held.
func (c *conn) handlePage(a *attempt, answer enginewire.Answer) ([]Event, error) {
	number := answer.PageNumber
	if answer.Kind == enginewire.FirstPage {
		number = 0
	}
	if number < len(a.pages) && a.pages[number] != nil && bytes.Equal(a.pages[number], answer.Body) {
		// A duplicate page is harmless and no reason to end the connection's other attempts.
		return nil, nil
	}
	if answer.Kind == enginewire.FirstPage {
		if a.pages != nil || answer.PageCount > c.pool.limits.ResultPages {
			return nil, enginewire.ErrMalformed
		}
		a.pages = make([][]byte, max(1, answer.PageCount))
		a.missingPages = len(a.pages)
		if a.givenUp && a.missingPages > 1 {
			// After a cancel the engine no longer has further pages, so only a complete result counts.
			return []Event{c.finish(a, a.giveUpOutcome)}, nil
		}
		c.requestPages(a)
	}
	return c.storePage(a, number, answer.Body)
}

// requestPages requests all pages except the first, which was received. mu is held.
func (c *conn) requestPages(a *attempt) {
	var b []byte
	for number := 1; number < len(a.pages); number++ {
		b = enginewire.AppendPageRequest(b, a.query.ID, number)
	}
	if b != nil {
		c.enqueueLine(b)
	}
}

// storePage stores a copy of a page, and ends the attempt if the result is complete. mu is held.
func (c *conn) storePage(a *attempt, number int, body []byte) ([]Event, error) {
	if number >= len(a.pages) || a.pages[number] != nil || !enginewire.WholeRows(body) ||
		a.resultBytes+len(body) > c.pool.limits.ResultBytes {
		return nil, enginewire.ErrMalformed
	}
	// A page without rows must not be stored as nil, which stands for a missing page.
	a.pages[number] = append(make([]byte, 0, max(1, len(body))), body...)
	a.resultBytes += len(body)
	a.missingPages--
	if a.missingPages > 0 {
		return nil, nil
	}
	if len(a.pages) > 1 {
		c.enqueueLine(enginewire.AppendDropPages(nil, a.query.ID))
	}
	return []Event{c.finish(a, router.Succeeded)}, nil
}
