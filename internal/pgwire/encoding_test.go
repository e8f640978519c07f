package pgwire

// Clients are not built with this project, so an accidental change of the wire would show only with a real
// client. These tests pin the encoding of answers and the parsing of messages.

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
	"time"

	"mintkeel/internal/lab/golden"
)

func TestAnswerEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "answers.golden")
	rows, count := AppendRows(nil, []byte("a\tb\tc\nd\t\tf\n"))
	if count != 2 {
		t.Errorf("AppendRows counted %d rows, want 2", count)
	}
	for _, c := range []struct {
		name    string
		encoded []byte
	}{
		{"no-encryption", EncryptionRefused},
		{"welcome", AppendSessionStart(nil, CancelKey{SessionID: 0x01020304, Secret: 0x05060708})},
		{"ready", AppendReady(nil)},
		{"empty", AppendEmptyQuery(nil)},
		{"error", AppendError(nil, false, CodeInvalidField, "field limit: is missing")},
		{"fatal", AppendError(nil, true, CodeProtocol, "malformed message")},
		{"shed", AppendRejected(nil, 0)},
		{"shed-later", AppendRejected(nil, 250*time.Millisecond)},
		{"row-description", AppendRowDescription(nil)},
		{"rows", rows},
		{"complete", AppendComplete(nil, 2)},
	} {
		table.Bytes(t, c.name, c.encoded)
	}
}

func TestErrorCodesAreStable(t *testing.T) {
	codes := []string{CodeNoResources, CodeTooManyConnections, CodeProtocol, CodeUnsupported, CodeInvalidField, CodeMissingField, CodeTooLong,
		CodeCancelled, CodeFailed, CodeDuplicate, CodeRejectedByRule}
	golden.File(t, "codes.golden", fmt.Appendln(nil, codes))
}

func TestStartUpIsReadAsBefore(t *testing.T) {
	var in bytes.Buffer
	in.WriteString("\x00\x00\x00\x08\x04\xd2\x16\x2f")                                 // encryption request (SSL)
	in.WriteString("\x00\x00\x00\x08\x04\xd2\x16\x30")                                 // encryption request (GSS)
	in.WriteString("\x00\x00\x00\x10\x04\xd2\x16\x2e\x01\x02\x03\x04\x05\x06\x07\x08") // cancel request
	in.WriteString("\x00\x00\x00\x1f\x00\x03\x00\x00application_name\x00psql\x00\x00") // session start
	r := bufio.NewReader(&in)
	for _, want := range []StartUp{
		{Kind: StartEncryption},
		{Kind: StartEncryption},
		{Kind: StartCancel, CancelKey: CancelKey{SessionID: 0x01020304, Secret: 0x05060708}},
		{Kind: StartSession, Application: "psql"},
	} {
		if got, err := ReadStartUp(r); got != want || err != nil {
			t.Errorf("got %+v, error %v, want %+v", got, err, want)
		}
	}
}

func TestQueryFieldsAreReadAsBefore(t *testing.T) {
	const query = "/* verb=lookup,txn=9b1f03aa5c7e2d41,team=acme,unique=u-1,item=i-2,limit=1500,cpu=12.5,est_mb=64,store=12-east */ " +
		"SELECT 1 FROM menu_17.items"
	f, err := ParseQuery([]byte(query))
	if err != nil {
		t.Fatal(err)
	}
	golden.AllSet(t, f)
	printed := fmt.Sprintf("verb %q\nid %q\nteam %q\nunique %q\nitem %q\nlimit ms %v\ncpu %v\nestimated MB %v\nstatement %q\n",
		f.ClassName, f.ID, f.Tenant, f.IdempotencyKey, f.OrderingKey, f.TimeoutMS, f.EstimatedWorkMS, f.EstimatedMemoryMB, f.Statement)
	for _, label := range f.Labels {
		printed += fmt.Sprintf("label %q: %q\n", label.Name, label.Value)
	}
	golden.File(t, "query.golden", []byte(printed))
}
