package engines

import (
	"strings"
	"testing"

	"mintkeel/router"
)

// An attempt is cancelled and the query retried, while the answer to the first attempt is still on its way.
// It must not pass for that of the retry: the id goes over another connection, and until the engine has
// confirmed the undo the first attempt has no outcome, so that the retry does not start.
func TestAnswerCrossesUndo(t *testing.T) {
	pt := newPoolTest(t, nil)
	query := newQuery("c1")
	pt.start(query, 0)
	first := pt.accept()
	first.expectQuery("c1")
	pt.pool.CancelAttempt(query, 0, "e")
	first.expect("undo c1\r\n")
	tag := strings.TrimPrefix(first.expect("ping "), "ping ")
	select {
	case ev := <-pt.events:
		t.Fatalf("told %+v before the engine heard of the undo", ev)
	default:
	}
	first.answer(tag, "READY", "-", "")
	pt.expectEnd(0, router.Cancelled)

	pt.start(query, 1)
	second := pt.accept()
	second.expectQuery("c1")
	first.answer("c1", "ACK", "parts=1", "old\told\told\n")
	other := newQuery("c2") // the first connection still serves others
	pt.start(other, 0)
	first.expectQuery("c2")
	first.answer("c2", "ACK", "parts=1", "2\t2\t2\n")
	if end := pt.expectEnd(0, router.Succeeded); end.Query != other {
		t.Fatalf("the end of %s", end.Query.ID)
	}
	second.answer("c1", "ACK", "parts=1", "new\tnew\tnew\n")
	if end := pt.expectEnd(1, router.Succeeded); string(joinPages(end.Pages)) != "new\tnew\tnew\n" {
		t.Fatalf("pages %q", end.Pages)
	}
}

// An engine answers an attempt before it reads the undo. What it has said is the outcome.
func TestOutcomeCrossesUndo(t *testing.T) {
	for _, c := range []struct {
		word, fields, body string
		want               router.Outcome
	}{
		{"ACK", "parts=1", "1\t1\t1\n", router.Succeeded},
		{"ACK", "parts=2", "1\t1\t1\n", router.Cancelled}, // the rest can't be had any more
		{"AGAIN", "-", "", router.EngineFull},
		{"EIO", "-", "", router.Errored},
	} {
		pt := newPoolTest(t, nil)
		query := newQuery("c1")
		pt.start(query, 0)
		engine := pt.accept()
		engine.expectQuery("c1")
		pt.pool.CancelAttempt(query, 0, "e")
		engine.expect("undo c1\r\n")
		engine.answer("c1", c.word, c.fields, c.body)
		pt.expectEnd(0, c.want)
	}
}
