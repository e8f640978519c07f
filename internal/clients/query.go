package clients

import (
	"errors"
	"fmt"
	"time"

	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// noTenant is the tenant of a query that names none.
const noTenant router.TenantID = -1

// queryError is why a query can't be used, as its client is told.
type queryError struct {
	code    string // of package pgwire
	message string
}

func (e *queryError) Error() string { return e.message }

// handleQuery answers a query message, by running the query if it can be used.
func (ses *session) handleQuery(body []byte, size int, readAt time.Time) error {
	text, whole := pgwire.QueryText(body)
	if !whole {
		return pgwire.ErrMalformed
	}
	ses.server.counts.queries.Add(1)
	if isBlank(text) {
		ses.reader.Discard(size)
		return ses.write(pgwire.AppendReady(pgwire.AppendEmptyQuery(nil)))
	}
	query, failed := ses.parseQuery(text, readAt)
	ses.reader.Discard(size) // only now, as text is in the buffer
	if failed == nil {
		return ses.execute(query)
	}
	if failed.code != pgwire.CodeRule { // the operator's rules count and name what they refuse
		ses.server.counts.badQueries.Add(1)
		ses.server.logBadClient(ses, failed.message)
	}
	return ses.write(pgwire.AppendReady(pgwire.AppendError(nil, false, failed.code, failed.message)))
}

// isBlank reports whether a text holds no statement.
func isBlank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' && c != ';' {
			return false
		}
	}
	return true
}

// parseQuery makes a query of a text, and has the operator's rules change it.
func (ses *session) parseQuery(text []byte, readAt time.Time) (*request.Query, *queryError) {
	f, err := pgwire.ParseQuery(text)
	if err != nil {
		return nil, fieldError(err)
	}
	names := ses.server.names
	class, known := names.Classes[f.ClassName]
	if !known {
		return nil, &queryError{pgwire.CodeField,
			fmt.Sprintf("field verb: %.60q is no profile", f.ClassName)}
	}
	tenant, known := names.Tenants[f.Tenant]
	if !known {
		if f.Tenant != "" && len(names.Tenants) > 0 {
			return nil, &queryError{pgwire.CodeField,
				fmt.Sprintf("field team: %.60q is no tenant", f.Tenant)}
		}
		tenant = noTenant
	}
	settings := ses.server.classes[class]
	if settings.Effect == router.Deduplicated && f.IdempotencyKey == "" {
		return nil, &queryError{pgwire.CodeMissing, "field unique: is missing"}
	}
	table, found := pgwire.FindTable(f.Statement)
	if !found {
		return nil, &queryError{pgwire.CodeField, "the statement names no group of tables"}
	}
	query := &request.Query{
		ID:                f.ID,
		Class:             class,
		ClassName:         f.ClassName,
		Tenant:            tenant,
		IdempotencyKey:    f.IdempotencyKey,
		OrderingKey:       router.OrderingKey(f.OrderingKey),
		EstimatedWork:     f.EstimatedWorkMS,
		EstimatedMemoryMB: f.EstimatedMemoryMB,
		Tables:            router.TableGroup(table.Group),
		FirstOnConnection: !ses.hadQuery,
		ReadAt:            readAt,
		TimeLeft:          ses.answerWithin(f.TimeoutMS),
		ClientTimeout:     milliseconds(settings.ClientTimeout),
	}
	if ses.server.rulesPossible {
		input := ruleInput(f, class, table, ses.application, ses.conn.LocalAddr().String())
		query.RuleInput = &input
		if refusal := ses.server.applyRules(query, input); refusal != "" {
			return nil, &queryError{pgwire.CodeRule, refusal}
		}
	}
	query.Statement = append([]byte(nil), f.Statement...)
	ses.hadQuery = true
	return query, nil
}

// fieldError is the answer to a field that can't be used.
func fieldError(err error) *queryError {
	code := pgwire.CodeField
	var field *pgwire.FieldError
	if errors.As(err, &field) && field.Missing {
		code = pgwire.CodeMissing
	}
	return &queryError{code, err.Error()}
}

// answerWithin is how long after its reading a query must be answered at the latest, by its
// client's timeout in ms. The answer still has to arrive: on a busy machine some that were written
// ahead of the timeout came too late.
func (ses *session) answerWithin(timeoutMS float64) time.Duration {
	timeout := milliseconds(timeoutMS)
	return timeout - min(ses.server.limits.AnswerAllowance, timeout/8)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
