package enginewire

import "strconv"

// Words of requests on the wire.
const (
	requestStart     = "do "     // start an attempt
	requestGiveUp    = "undo "   // give an attempt up
	requestDropPages = "forget " // no further pages are wanted
	requestPing      = "ping "
	requestPage      = "page "
)

// Fields of a request that starts an attempt, with what separates them.
const (
	fieldClass          = " profile="
	fieldTimeout        = ",max=" // ms
	fieldIdempotencyKey = ",replay="
)

// AppendStart writes the line that starts an attempt of a query. Its statement, of statementBytes,
// and a line end have to follow. An empty idempotencyKey is left out.
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

// AppendGiveUp gives up the attempt of a query.
func AppendGiveUp(b []byte, id string) []byte { return appendLine(b, requestGiveUp, id) }

// AppendDropPages says that no more pages of a query's result are wanted.
func AppendDropPages(b []byte, id string) []byte { return appendLine(b, requestDropPages, id) }

// AppendPing asks for an answer with the same tag, which comes when the engine has read all that
// was written before.
func AppendPing(b []byte, tag string) []byte { return appendLine(b, requestPing, tag) }

// AppendPageRequest asks for a page of a query's result, numbered from 0.
func AppendPageRequest(b []byte, id string, number int) []byte {
	b = append(append(append(b, requestPage...), id...), ' ')
	return append(strconv.AppendInt(b, int64(number), 10), lineEnd...)
}

func appendLine(b []byte, word, argument string) []byte {
	return append(append(append(b, word...), argument...), lineEnd...)
}
