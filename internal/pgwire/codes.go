package pgwire

import "errors"

// Errors of messages, checked with errors.Is.
var (
	// ErrTooLong means that a message exceeds the length limit.
	ErrTooLong = errors.New("message too long")
	// ErrBufferTooSmall means that a message exceeds the reader's buffer, but not the length limit.
	ErrBufferTooSmall = errors.New("message longer than the buffer")
	// ErrMalformed means that the bytes are not a message of the protocol.
	ErrMalformed = errors.New("malformed message")
)

// Codes of errors (SQLSTATE), with PostgreSQL's names of the conditions. Clients decide by the code
// whether to retry.
const (
	CodeNoResources        = "53000" // insufficient_resources: rejected, and may be retried
	CodeTooManyConnections = "53300" // too_many_connections
	CodeProtocol           = "08P01" // protocol_violation
	CodeUnsupported        = "0A000" // feature_not_supported
	CodeInvalidField       = "22023" // invalid_parameter_value: a field of the query is invalid
	CodeMissingField       = "22004" // null_value_not_allowed: a field of the query is missing
	CodeTooLong            = "54000" // program_limit_exceeded
	CodeCancelled          = "57014" // query_canceled
	CodeFailed             = "58000" // system_error: the query failed and may have taken effect
	CodeDuplicate          = "42710" // duplicate_object
	CodeRejectedByRule     = "42501" // insufficient_privilege: an operator's rule rejects the query
)
