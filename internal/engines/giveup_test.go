package engines

import (
	"strings"
	"testing"

	"mintkeel/router"
)

// An attempt is cancelled and its query retried while the answer to the first attempt is in transit. That
// answer must not be taken for the answer to the retry: the retry goes over another connection, and the first
// attempt has no outcome, so the retry does not start, until the engine has confirmed the cancel ("undo").
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
		t.Fatalf("got event %+v before the engine confirmed the cancel, want none", ev)
	default:
	}
	first.answer(tag, "READY", "-", "")
	pt.expectEnd(0, router.Cancelled)

	pt.start(query, 1)
	second := pt.accept()
	second.expectQuery("c1")
	first.answer("c1", "ACK", "parts=1", "old\told\told\n")
	other := newQuery("c2") // the first connection still carries other queries
	pt.start(other, 0)
	first.expectQuery("c2")
	first.answer("c2", "ACK", "parts=1", "2\t2\t2\n")
	if end := pt.expectEnd(0, router.Succeeded); end.Query != other {
		t.Fatalf("got AttemptEnded of query %s, want that of c2", end.Query.ID)
	}
	second.answer("c1", "ACK", "parts=1", "new\tnew\tnew\n")
	if end := pt.expectEnd(1, router.Succeeded); string(joinPages(end.Pages)) != "new\tnew\tnew\n" {
		t.Fatalf("got pages %q, want those of the retry", end.Pages)
	}
}

// An engine answers an attempt before it reads the cancel ("undo"). The answer determines the outcome.
func TestOutcomeCrossesUndo(t *testing.T) {
	for _, c := range []struct {
		word, fields, body string
		want               router.Outcome
	}{
		{"ACK", "parts=1", "1\t1\t1\n", router.Succeeded},
		{"ACK", "parts=2", "1\t1\t1\n", router.Cancelled}, // the engine has dropped the other page
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
