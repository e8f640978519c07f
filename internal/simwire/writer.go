package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// lineEndAnswer ends the answer to a batch.
const lineEndAnswer = "end"

// lineSanitizer replaces the characters that separate fields and lines.
var lineSanitizer = strings.NewReplacer("\t", " ", "\n", " | ")

// Writer writes answers to batches.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer to out. Its output is buffered until End.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, bufferBytes)} }

// Line writes a line: a name and values in order.
func (w *Writer) Line(name string, values ...any) {
	w.out.WriteString(name)
	for _, v := range values {
		w.out.WriteByte('\t')
		w.value(v)
	}
	w.out.WriteByte('\n')
}

func (w *Writer) value(v any) {
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
		w.out.WriteString(lineSanitizer.Replace(v))
	default:
		fmt.Fprint(w.out, v)
	}
}

// End writes the end line of the answer to the numbered batch and flushes the output.
func (w *Writer) End(number string) error {
	w.Line(lineEndAnswer, number)
	return w.out.Flush()
}
