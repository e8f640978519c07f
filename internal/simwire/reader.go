package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

const (
	// bufferBytes is the buffer size of a Reader and of a Writer.
	bufferBytes = 1 << 20
	// endpointListCount is the number of endpoint lists that a Reader stores.
	endpointListCount = 16
	// maxListEndpoints is the largest number of engines in an endpoint list.
	maxListEndpoints = 1 << 24
)

// Names of the lines that are not messages.
const (
	lineBeginBatch = "begin_batch"
	lineEndBatch   = "over_to_you"
	lineList       = "list" // starts an endpoint list, which messages refer to by its number ("sheet")
	lineItem       = "item" // an engine of an endpoint list
)

// Reader reads batches of messages.
type Reader struct {
	in            *bufio.Reader
	line          int                           // number of the last line that was read
	endpointLists [endpointListCount][]Endpoint // the latest of each number
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferBytes)} }

// Read returns the next batch. The error is io.EOF at the end of input, a *FieldError if the batch
// is malformed, and otherwise that of the input.
func (r *Reader) Read() (*Batch, error) {
	name, f, err := r.nextLine()
	if err != nil {
		return nil, err
	}
	if name != lineBeginBatch {
		why := fmt.Sprintf("got %q, want %s", name, lineBeginBatch)
		return nil, &FieldError{r.line, "message", why}
	}
	b := &Batch{Now: f.natural("clock", math.MaxInt64)}
	b.Number = strconv.FormatInt(f.natural("number", math.MaxInt64), 10)
	if f.err != nil {
		return nil, f.err
	}
	for {
		name, f, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return nil, &FieldError{r.line, "message", "input ends in the middle of a batch"}
		}
		if err != nil {
			return nil, err
		}
		switch name {
		case lineEndBatch:
			return b, nil
		case lineList:
			err = r.readList(f)
		default:
			err = r.readMessage(b, name, f)
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextLine returns the name of the next line and its fields.
func (r *Reader) nextLine() (string, *fields, error) {
	text, err := r.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && text != "" {
			return "", nil, &FieldError{r.line + 1, "line", "does not end in a line feed"}
		}
		return "", nil, err
	}
	r.line++
	parts := strings.Split(strings.TrimSuffix(text, "\n"), "\t")
	return parts[0], &fields{unread: parts[1:], line: r.line}, nil
}

// readMessage adds a message to a batch.
func (r *Reader) readMessage(b *Batch, name string, f *fields) error {
	parse, known := parsers[name]
	if !known {
		return &FieldError{f.line, "message", fmt.Sprintf("unknown message %q", name)}
	}
	body := parse(r, f)
	if f.err != nil {
		return f.err
	}
	b.Messages = append(b.Messages, Message{f.line, body})
	return nil
}

// readList reads an endpoint list, which replaces the previous one of the same number.
func (r *Reader) readList(f *fields) error {
	listIndex := f.natural("sheet", endpointListCount-1)
	endpointCount := f.natural("rows_in", maxListEndpoints)
	if f.err != nil {
		return f.err
	}
	var list []Endpoint
	for range endpointCount {
		name, f, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return &FieldError{r.line, "rows_in", "input ends in the middle of an endpoint list"}
		}
		if err != nil {
			return err
		}
		if name != lineItem {
			return &FieldError{r.line, "rows_in", fmt.Sprintf("got %q, want item", name)}
		}
		endpoint := parseEndpoint(f)
		if f.err != nil {
			return f.err
		}
		list = append(list, endpoint)
	}
	r.endpointLists[listIndex] = list
	return nil
}
