package clients

import (
	"errors"
	"fmt"
	"time"

	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// noTenant is the tenant of a query without a tenant.
const noTenant router.TenantID = -1

// maxAllowanceFraction bounds limits.AnswerAllowance to an eighth of the client's timeout, which
// matters for short timeouts.
const maxAllowanceFraction = 8

// queryError is the error that is returned to the client of an invalid query.
type queryError struct {
	code    string // one of the Code... of package pgwire
	message string
}

func (e *queryError) Error() string { return e.message }

// handleQuery handles a query message: it runs a valid query and answers others with an error.
func (ses *session) handleQuery(body []byte, size int, readAt time.Time) error {
	text, wellFormed := pgwire.QueryText(body)
	if !wellFormed {
		return pgwire.ErrMalformed
	}
	ses.server.counts.queries.Add(1)
	if isBlank(text) {
		ses.reader.Discard(size)
		return ses.write(pgwire.AppendReady(pgwire.AppendEmptyQuery(nil)))
	}
	query, queryErr := ses.parseQuery(text, readAt)
	ses.reader.Discard(size) // after parsing, as text refers to the buffer
	if queryErr == nil {
		return ses.execute(query)
	}
	if queryErr.code != pgwire.CodeRejectedByRule { // applyRules counts rejections, by rule
		ses.server.counts.badQueries.Add(1)
		ses.server.logBadClient(ses, queryErr.message)
	}
	return ses.write(pgwire.AppendReady(
		pgwire.AppendError(nil, false, queryErr.code, queryErr.message)))
}

// isBlank reports whether a text contains no statement: white space and semicolons only.
func isBlank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' && c != ';' {
			return false
		}
	}
	return true
}

// parseQuery parses the text of a query and applies the operator's rules to the query.
func (ses *session) parseQuery(text []byte, readAt time.Time) (*request.Query, *queryError) {
	f, err := pgwire.ParseQuery(text)
	if err != nil {
		return nil, fieldError(err)
	}
	names := ses.server.names
	class, err := findClass(names, f.ClassName)
	if err != nil {
		return nil, fieldError(err)
	}
	tenant, err := findTenant(names, f.Tenant)
	if err != nil {
		return nil, fieldError(err)
	}
	classSettings := ses.server.classes[class]
	if classSettings.Effect == router.Deduplicated && f.IdempotencyKey == "" {
		return nil, fieldError(&pgwire.FieldError{
			Field:   pgwire.FieldIdempotencyKey,
			Why:     "is missing",
			Missing: true,
		})
	}
	table, found := pgwire.FindTable(f.Statement)
	if !found {
		return nil, &queryError{pgwire.CodeInvalidField, "the statement names no group of tables"}
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
		FirstOnConnection: !ses.sentValidQuery,
		ReadAt:            readAt,
		TimeLeft:          ses.answerWithin(f.TimeoutMS),
		ClientTimeout:     duration(classSettings.ClientTimeout),
	}
	if ses.server.rulesPossible {
		input := ruleInput(f, class, table, ses.application, ses.conn.LocalAddr().String())
		query.RuleInput = &input
		if rejection := ses.server.applyRules(query, input); rejection != "" {
			return nil, &queryError{pgwire.CodeRejectedByRule, rejection}
		}
	}
	query.Statement = append([]byte(nil), f.Statement...)
	ses.sentValidQuery = true
	return query, nil
}

// findClass returns the query class with a name. Its error is a *pgwire.FieldError.
func findClass(names *settings.Names, name string) (router.ClassID, error) {
	class, known := names.Classes[name]
	if !known {
		why := fmt.Sprintf("%.60q is no profile", name)
		return 0, &pgwire.FieldError{Field: pgwire.FieldClassName, Why: why}
	}
	return class, nil
}

// findTenant returns the tenant with a name, or noTenant if the name is empty or the settings
// define no tenants. Its error is a *pgwire.FieldError.
func findTenant(names *settings.Names, name string) (router.TenantID, error) {
	tenant, known := names.Tenants[name]
	switch {
	case known:
		return tenant, nil
	case name == "" || len(names.Tenants) == 0:
		return noTenant, nil
	}
	why := fmt.Sprintf("%.60q is no tenant", name)
	return 0, &pgwire.FieldError{Field: pgwire.FieldTenant, Why: why}
}

// fieldError converts the error of a missing or invalid field into the error for the client.
func fieldError(err error) *queryError {
	code := pgwire.CodeInvalidField
	var field *pgwire.FieldError
	if errors.As(err, &field) && field.Missing {
		code = pgwire.CodeMissingField
	}
	return &queryError{code, err.Error()}
}

// answerWithin returns the time, from when a query was read, within which it must be answered,
// given its client's timeout in ms. It is shorter than the timeout, as the answer still has to
// reach the client: one that is written just before the timeout would arrive too late.
func (ses *session) answerWithin(timeoutMS float64) time.Duration {
	timeout := duration(timeoutMS)
	return timeout - min(ses.server.limits.AnswerAllowance, timeout/maxAllowanceFraction)
}

// duration converts a number of milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
