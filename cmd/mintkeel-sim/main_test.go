package main

import (
	"strings"
	"testing"

	"mintkeel/internal/simwire"
	"mintkeel/router"
)

// startMessage starts controller 3.
const startMessage = "up\t3\t5\tbounds.send_cap=2\tservices.count=1\tservices.0.name=lookup\tservices.0.effect=free\t" +
	"services.0.dedup_scope=all\tservices.0.promise_ns=1000000000\tservices.0.hard_limit_ns=5000000000\t" +
	"kinds=k\tfamily_info.size_cores=8\tfamily_info.size_mb=1000\tn_instances=1\tround_ns=5000000\tnew.key=1\n"

// runScript serves an input and returns the whole output.
func runScript(in string) (string, error) {
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

// Checks what the answers to whole batches contain, for example if an endpoint list is replaced within a batch,
// or a controller is stopped and started again in one.
func TestServe(t *testing.T) {
	begin := func(n string, lines ...string) string {
		return "begin_batch\t1000000" + n + "\t" + n + "\n" + strings.Join(lines, "") + "over_to_you\n"
	}
	list := func(addr string) string { return "list\t0\t1\nitem\t-\tz\tk\t1\t0\t" + addr + "\t2\n" }
	incoming := "incoming\t3\t9\t-\t0\tlookup\t1\t-\t5000000000\t0\t-\n"
	for _, c := range []struct{ name, in, has, lacks string }{
		{"an empty batch", begin("1"), "end\t1\n", "\t3\t"},
		{"an attempt", begin("1", startMessage, list("a:1"), "view\t3\t1\t2\t0\n", incoming),
			"submit_to\t3\t9\ta:1\t501", "bug"},
		{"a list number used again in the batch",
			begin("1", startMessage, list("a:1"), list("b:2"), "view\t3\t1\t2\t0\n", incoming),
			"submit_to\t3\t9\tb:2", "a:1"},
		{"retired and up in one batch", begin("1", startMessage) + begin("2", list("a:1"), "view\t3\t1\t2\t0\n", incoming,
			"retire\t3\n", startMessage), "end\t2\n", "submit_to"},
		{"a failed list", begin("1", startMessage, "view\t3\t1\t3\t-\n", incoming), "end\t1\n", "submit_to"},
	} {
		out, err := runScript(c.in)
		if err != nil || !strings.Contains(out, c.has) || strings.Contains(out, c.lacks) {
			t.Errorf("%s: got error %v, want none; or the output misses the case's has or contains its lacks:\n%s", c.name, err, out)
		}
	}
}

// A malformed line ends the program with an error that names the line and the field.
func TestMalformed(t *testing.T) {
	head := "begin_batch\t1\t1\n" + startMessage
	for _, c := range []struct{ in, want string }{
		{"begin_batch\tx\t1", "line 1: field clock"},
		{"hello", "line 1: field message"},
		{head + "bell\tx\t1", "line 3: field controller"},
		{head + "bell\t4\t1", "line 3: field controller: controller 4 is not running"},
		{head + "incoming\t3\t9\t-\t0\tnone\t1\t-\t5\t0\t-", "line 3: field band"},
		{head + "incoming\t3\t9\t-\t0\tlookup\t1\t-", "line 3: field patience_left_ns: is missing"},
		{head + "attempt_end\t3\t9\t1\twhat\t0\ta:1\t-\t0\t-", "line 3: field reason"},
		{head + "list\t16\t0", "line 3: field sheet"},
		{head + "list\t0\t1\nbell\t3\t1", "line 4: field rows_in"},
		{head + "memo\t3\t1\t!!", "line 3: field msg"},
		{head + "begin", "line 3: field message"},
		{"begin_batch\t1\t1\nup\t3\t1\tround_ns=x", "line 2: field round_ns"},
		{"begin_batch\t1\t1\nup\t3\t1\tservices.count=1", "line 2: field services.0.effect"},
	} {
		if _, err := runScript(c.in + "\nover_to_you\n"); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want one with %q", c.in, err, c.want)
		}
	}
}

// Times are rounded so that a timer never fires early and an attempt's deadline is never late. A panic of the
// module is reported as a line.
func TestActionTimesAndPanics(t *testing.T) {
	var out strings.Builder
	w := simwire.NewWriter(&out)
	writeActions(w, 3, []router.Action{router.SetTimer{After: 0.0000011},
		router.StartAttempt{ID: 1, Engine: "a", Deadline: 1.9999999}})
	(&controller{}).step(w, 4, 0)
	w.End("1")
	want := "set_timer\t3\t2\t0\nsubmit_to\t3\t1\ta\t1999999\nbug\t4\t"
	if !strings.HasPrefix(out.String(), want) {
		t.Errorf("got output %q, want a timer of 2 ns, a deadline of 1999999 ns and a panic of controller 4", out.String())
	}
}
