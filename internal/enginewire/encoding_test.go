package enginewire

// Engines are not built with this project, so an accidental change of the wire would show only with a real
// engine. These tests pin the encoding of requests and the parsing of answers.

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mintkeel/internal/lab/golden"
)

func TestRequestEncodingIsStable(t *testing.T) {
	var b []byte
	b = AppendStart(b, "9b1f03aa5c7e2d41", "lookup", 1500, "", 8)
	b = append(b, "SELECT 1\r\n"...)
	b = AppendStart(b, "9b1f03aa5c7e2d42", "insert", 2500, "guard-7", 0)
	b = AppendGiveUp(b, "9b1f03aa5c7e2d41")
	b = AppendDropPages(b, "9b1f03aa5c7e2d41")
	b = AppendPing(b, "tag-3")
	b = AppendPageRequest(b, "9b1f03aa5c7e2d41", 4)
	golden.File(t, "requests.golden", b)
}

func TestAnswersAreReadAsBefore(t *testing.T) {
	const answers = "a1 ACK parts=2,report=inflight:7;util:0.61 6\r\na\tb\tc\n\r\n" +
		"a2 AGAIN report=inflight:9 0\r\n\r\n" +
		"a3 EIO remark=broken 0\r\n\r\n" +
		"a4 STALE - 0\r\n\r\n" +
		"a5 READY report=x0:0.5;x1:0.25 0\r\n\r\n" +
		"a6 EVENT remark=progress,value=0.5 0\r\n\r\n" +
		"a7 BLOCK part_no=1 6\r\nd\te\tf\n\r\n"
	kindNames := map[Kind]string{FirstPage: "ok", EngineFull: "full", Failed: "error", AlreadyEnded: "stale", Pong: "ready",
		Progress: "note", FurtherPage: "page"}
	r := bufio.NewReader(strings.NewReader(answers))
	var printed bytes.Buffer
	for range len(kindNames) {
		a, size, err := PeekAnswer(r, 128, 128)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&printed, "%s %s, pages %d, page %d, remark %q, value %v, report %q, body %q\n", a.ID, kindNames[a.Kind], a.PageCount,
			a.PageNumber, a.Remark, a.Value, a.LoadReport, a.Body)
		if err := ParseLoadReport(a.LoadReport, func(name string, x float64) { fmt.Fprintf(&printed, "  %s: %v\n", name, x) }); err != nil {
			t.Error(err)
		}
		r.Discard(size)
	}
	golden.File(t, "answers.golden", printed.Bytes())
}
