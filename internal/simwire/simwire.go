// Package simwire reads and writes the lines of the simulator's wire. It knows their form and nothing of what
// they are for.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// FieldError is a malformed line.
type FieldError struct {
	Line  int
	Field string
	Why   string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Why)
}

// Options are the settings of an Up.
type Options map[string]string

// Messages that come in. Times are nanoseconds.
type (
	// Up starts a controller.
	Up struct {
		Controller int
		Nonce      uint64
		Options    Options
	}
	// Retire ends a controller at once; its state goes with it.
	Retire struct{ Controller int }
	// Item is an engine in the endpoint list.
	Item struct {
		Since    int64
		Zone     string
		Shape    string
		Nominal  float64
		Cluster  int64
		Executor string
		State    int64
	}
	// View is an update of the endpoint list. Scope: 0 those that changed, 1 all, 2 all from the cache, 3 discovery failed.
	View struct {
		Controller int
		Scope      int64
		Items      []Item
	}
	// Incoming is a query that arrived.
	Incoming struct {
		Controller int
		ID         uint32
		Project    string
		Flags      int64
		Band       string
		TableGroup int64
		Estimate   int64
		Left       int64
		MemoryMB   float64
		Relation   string
	}
	// Opened tells that the response to an attempt has started.
	Opened struct {
		Controller int
		ID         uint32
		Go         int
	}
	// Signal is progress of an attempt.
	Signal struct {
		Controller int
		ID         uint32
		Go         int
		What       int64
		Level      float64
	}
	// AttemptEnd tells how an attempt ended.
	AttemptEnd struct {
		Controller int
		ID         uint32
		Took       int64
		Reason     string
		Over       bool
		TrueCost   int64
		Go         int
		Feedback   []float64
	}
	// Vanished tells that a query's client disconnected.
	Vanished struct {
		Controller int
		ID         uint32
	}
	// Bell is a timer that fired.
	Bell struct{ Controller int }
	// Probed tells how a health check ended.
	Probed struct {
		Controller int
		Executor   string
		Reason     string
		Feedback   []float64
	}
	// Memo is a message of another controller, for which nothing has a use.
	Memo struct{ Controller int }
)

// Message is one of the types above, with the line it stood on.
type Message struct {
	Line int
	Body any
}

// Batch is all that came at one clock time.
type Batch struct {
	Now      int64
	Number   string
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in     *bufio.Reader
	line   int
	sheets [16][]Item
}

// NewReader reads batches from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// fields hands out the parts of a line in their order and keeps the first error.
type fields struct {
	parts []string
	line  int
	err   error
}

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = &FieldError{f.line, name, why}
	}
}

func (f *fields) text(name string) string {
	if len(f.parts) == 0 {
		f.fail(name, "is missing")
		return ""
	}
	part := f.parts[0]
	f.parts = f.parts[1:]
	if part == "-" {
		return ""
	}
	return part
}

func (f *fields) needed(name string) string {
	s := f.text(name)
	if s == "" {
		f.fail(name, "is absent")
	}
	return s
}

func (f *fields) int(name string) int64 {
	s := f.text(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(name, fmt.Sprintf("%q is no whole number", s))
	}
	return n
}

func (f *fields) natural(name string, most int64) int64 {
	s := f.needed(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > most {
		f.fail(name, fmt.Sprintf("%q is no whole number from 0 to %d", s, most))
	}
	return n
}

func (f *fields) controller() int { return int(f.natural("controller", 1<<31)) }
func (f *fields) id() uint32      { return uint32(f.natural("msg_id", 1<<32-1)) }
func (f *fields) time(name string) int64 {
	n := f.int(name)
	if n < 0 {
		f.fail(name, "is below 0")
	}
	return n
}

func (f *fields) float(name string) float64 {
	s := f.text(name)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e300 || x < -1e300 {
		f.fail(name, fmt.Sprintf("%q is no number", s))
	}
	return x
}

func (f *fields) bool(name string) bool {
	s := f.text(name)
	if s != "" && s != "0" && s != "1" {
		f.fail(name, fmt.Sprintf("%q is neither 0 nor 1", s))
	}
	return s == "1"
}

func (f *fields) row(name string) []float64 {
	s := f.text(name)
	if s == "" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(s, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || x != x {
			f.fail(name, fmt.Sprintf("%q is no list of numbers", s))
		}
		row = append(row, x)
	}
	return row
}

func (f *fields) options() Options {
	o := make(Options, len(f.parts))
	for _, pair := range f.parts {
		name, value, found := strings.Cut(pair, "=")
		if !found {
			f.fail("options", fmt.Sprintf("%q has no =", pair))
		}
		o[name] = value
	}
	return o
}

func (r *Reader) next() (string, *fields, error) {
	text, err := r.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && text != "" {
			return "", nil, &FieldError{r.line + 1, "line", "has no end"}
		}
		return "", nil, err
	}
	r.line++
	parts := strings.Split(strings.TrimSuffix(text, "\n"), "\t")
	return parts[0], &fields{parts: parts[1:], line: r.line}, nil
}

// Read returns the next batch, or io.EOF at the end of input.
func (r *Reader) Read() (*Batch, error) {
	name, f, err := r.next()
	if err != nil {
		return nil, err
	}
	if name != "begin_batch" {
		return nil, &FieldError{r.line, "message", fmt.Sprintf("%q stands where begin_batch should", name)}
	}
	b := &Batch{Now: f.natural("clock", 1<<63-1), Number: strconv.FormatInt(f.natural("number", 1<<63-1), 10)}
	if f.err != nil {
		return nil, f.err
	}
	for {
		name, f, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil, &FieldError{r.line, "message", "the input ends within a batch"}
		}
		if err != nil {
			return nil, err
		}
		if name == "over_to_you" {
			return b, nil
		}
		if name == "list" {
			if err := r.sheet(f); err != nil {
				return nil, err
			}
			continue
		}
		body := r.parse(name, f)
		if f.err != nil {
			return nil, f.err
		}
		if body != nil {
			b.Messages = append(b.Messages, Message{f.line, body})
		}
	}
}

func (r *Reader) sheet(f *fields) error {
	number, rows := f.natural("sheet", 15), f.natural("rows_in", 1<<24)
	if f.err != nil {
		return f.err
	}
	var items []Item
	for range rows {
		name, f, err := r.next()
		if errors.Is(err, io.EOF) {
			return &FieldError{r.line, "rows_in", "the input ends within a list"}
		}
		if err != nil {
			return err
		}
		if name != "item" {
			return &FieldError{r.line, "rows_in", fmt.Sprintf("%q stands where an item should", name)}
		}
		item := Item{Since: f.time("since_ns"), Zone: f.text("zone"), Shape: f.text("shape"),
			Nominal: f.float("nominal"), Cluster: f.int("cluster"), Executor: f.needed("executor"),
			State: f.natural("state", 1<<31)}
		if f.err != nil {
			return f.err
		}
		items = append(items, item)
	}
	r.sheets[number] = items
	return nil
}

func (r *Reader) parse(name string, f *fields) any {
	switch name {
	case "up":
		m := Up{Controller: f.controller()}
		nonce := f.needed("nonce64")
		n, err := strconv.ParseUint(nonce, 10, 64)
		if err != nil {
			f.fail("nonce64", fmt.Sprintf("%q is no whole number", nonce))
		}
		m.Nonce, m.Options = n, f.options()
		return m
	case "retire":
		return Retire{f.controller()}
	case "view":
		m := View{Controller: f.controller()}
		f.int("version")
		m.Scope = f.natural("scope", 3)
		sheet := f.int("sheet")
		if m.Scope != 3 {
			if sheet < 0 || sheet > 15 {
				f.fail("sheet", "is not from 0 to 15")
				return nil
			}
			m.Items = r.sheets[sheet]
		}
		return m
	case "incoming":
		return Incoming{Controller: f.controller(), ID: f.id(), Project: f.text("project"), Flags: f.int("flags"),
			Band: f.needed("band"), TableGroup: f.int("table_group"), Estimate: f.time("estimate_ns"),
			Left: f.int("patience_left_ns"), MemoryMB: f.float("est_memory_mb"), Relation: f.text("relation")}
	case "opened":
		return Opened{Controller: f.controller(), ID: f.id(), Go: int(f.natural("go", 1<<31))}
	case "signal":
		m := Signal{Controller: f.controller(), ID: f.id(), Go: int(f.natural("go", 1<<31))}
		f.text("executor")
		m.What, m.Level = f.int("what"), f.float("level")
		return m
	case "attempt_end":
		m := AttemptEnd{Controller: f.controller(), ID: f.id(), Took: f.int("cost_time_ns"),
			Reason: f.needed("reason"), Over: f.bool("over")}
		f.text("executor")
		m.TrueCost, m.Go, m.Feedback = f.int("true_cost"), int(f.natural("go", 1<<31)), f.row("feedback")
		return m
	case "vanished":
		return Vanished{f.controller(), f.id()}
	case "bell":
		return Bell{f.controller()}
	case "probed":
		m := Probed{Controller: f.controller(), Executor: f.needed("executor"), Reason: f.needed("reason")}
		f.int("cost_time_ns")
		m.Feedback = f.row("feedback")
		return m
	case "memo":
		m := Memo{f.controller()}
		f.text("by")
		if _, err := base64.StdEncoding.DecodeString(f.text("msg")); err != nil {
			f.fail("msg", "is no base64")
		}
		return m
	}
	f.fail("message", fmt.Sprintf("%q is not known", name))
	return nil
}

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter writes replies to out. End writes them out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<20)} }

// Line writes one action: its name and its values in order.
func (w *Writer) Line(name string, values ...any) {
	w.out.WriteString(name)
	for _, v := range values {
		w.out.WriteByte('\t')
		switch v := v.(type) {
		case int:
			w.out.WriteString(strconv.Itoa(v))
		case int64:
			w.out.WriteString(strconv.FormatInt(v, 10))
		case uint32:
			w.out.WriteString(strconv.FormatUint(uint64(v), 10))
		case float64:
			w.out.WriteString(strconv.FormatFloat(v, 'g', -1, 64))
		case string:
			w.out.WriteString(strings.NewReplacer("\t", " ", "\n", " | ").Replace(v))
		default:
			fmt.Fprint(w.out, v)
		}
	}
	w.out.WriteByte('\n')
}

// End closes the reply to a batch.
func (w *Writer) End(number string) error {
	w.Line("end", number)
	return w.out.Flush()
}
