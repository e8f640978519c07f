package enginewire

import "strconv"

// Words of requests on the wire, with the separator.
const (
	requestStart     = "do "     // starts an attempt
	requestGiveUp    = "undo "   // cancels an attempt
	requestDropPages = "forget " // drops the rest of a result
	requestPing      = "ping "
	requestPage      = "page "
)

// Fields of a request that starts an attempt, with their separators.
const (
	fieldClass          = " profile="
	fieldTimeout        = ",max=" // ms
	fieldIdempotencyKey = ",replay="
)

// AppendStart appends the line that starts an attempt of a query. The caller has to write the
// statement, of statementBytes, and CR LF after it. An empty idempotencyKey is omitted.
func AppendStart(
	b []byte, id, class string, timeoutMS int64, idempotencyKey string, statementBytes int,
) []byte {
	b = append(append(b, requestStart...), id...)
	b = append(append(b, fieldClass...), class...)
	b = strconv.AppendInt(append(b, fieldTimeout...), timeoutMS, 10)
	if idempotencyKey != "" {
		b = append(append(b, fieldIdempotencyKey...), idempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(statementBytes), 10)
	return append(b, lineEnd...)
}

// AppendGiveUp appends a request to cancel the attempt of a query.
func AppendGiveUp(b []byte, id string) []byte { return appendLine(b, requestGiveUp, id) }

// AppendDropPages appends the message that no more pages of a query's result will be requested.
func AppendDropPages(b []byte, id string) []byte { return appendLine(b, requestDropPages, id) }

// AppendPing appends a request for an answer with the same tag. The engine sends it after it has
// read everything that was written before the ping.
func AppendPing(b []byte, tag string) []byte { return appendLine(b, requestPing, tag) }

// AppendPageRequest appends a request for a page of a query's result. Pages are numbered from 0.
func AppendPageRequest(b []byte, id string, number int) []byte {
	b = append(append(append(b, requestPage...), id...), ' ')
	return append(strconv.AppendInt(b, int64(number), 10), lineEnd...)
}

func appendLine(b []byte, word, argument string) []byte {
	return append(append(append(b, word...), argument...), lineEnd...)
}
