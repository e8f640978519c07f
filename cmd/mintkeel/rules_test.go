package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Rules are applied before a query enters the event loop. They reject queries with their text, and a reload replaces all of
// them or none.
func TestRulesRejectAndReload(t *testing.T) {
	discovery, engine, _ := fakeDiscoveryAndEngine(t)
	const no = "rule \"no\" {\n when = \"table_name == 't'\"\n refuse = \"not now\"\n}\n"
	h := newTestDaemon(t, strings.Replace(validConfig, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1), discovery, engine, no)
	h.serve()
	c := h.dial()
	for i, step := range []struct{ text, logged, answer string }{
		{"", "", "EZ"},
		{"rule \"no\" {\n when = \"table_name == 'u'\"\n refuse = \"not now\"\n}\n", logReloaded, "TDCZ"},
		{no, logReloaded, "EZ"},
		{"rule \"no\" {\n when = \"table_name = 't'\"\n}\n", logNotUsed, "EZ"},
		{"rule \"k\" {\n key = \"'k' + tenant\"\n}\n", logReloaded, "TDCZ"},
		{"log {\n}\n", logReloaded, "TDCZ"},
	} {
		if step.logged != "" {
			h.reload(step.text, step.logged)
		}
		if c.query(i, "1"); c.awaitMessageKinds() != step.answer {
			t.Errorf("step %d: the answer is not of the message kinds %s", i, step.answer)
		}
	}
	h.reload(no, logReloaded)
	c.query(99, "1")
	c.awaitMessageKinds()
	h.stop()
	if text := h.log.String(); !strings.Contains(text, "rules.refused=1") || !strings.Contains(text, "bad_queries=0") {
		t.Error(text)
	}
}

// orderCheckingEngine is a fake engine that takes 2 ms per query and counts overlaps of queries of the same store.
type orderCheckingEngine struct {
	mu       sync.Mutex
	running  map[string]int
	overlaps int
	received int
}

func (o *orderCheckingEngine) serve(conn net.Conn) {
	var writing sync.Mutex
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		reply := func(text string) {
			writing.Lock()
			defer writing.Unlock()
			io.WriteString(conn, words[1]+text)
		}
		switch words[0] {
		case "ping":
			reply(" READY - 0\r\n\r\n")
		case "do":
			statement, _ := r.ReadString('\n')
			store, _, _ := strings.Cut(statement[strings.Index(statement, "store_"):], " ")
			o.mu.Lock()
			if o.received++; o.running[store] > 0 {
				o.overlaps++
			}
			o.running[store]++
			o.mu.Unlock()
			time.AfterFunc(2*time.Millisecond, func() {
				o.mu.Lock()
				o.running[store]--
				o.mu.Unlock()
				reply(" ACK parts=1 6\r\na\tb\tc\n\r\n")
			})
		}
	}
}

// Valid and invalid rules alternate many times per second under load on a few stores. Each set of rules gives the loads of a
// store a different ordering key. Even so, no two loads of the same store may ever run concurrently.
func TestOrderingHoldsWhileRulesChangeUnderLoad(t *testing.T) {
	discovery, _, _ := fakeDiscoveryAndEngine(t)
	engine := &orderCheckingEngine{running: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(conn)
		}
	}()
	rule := func(name string) string {
		// The test waits for the log line of each reload, so the rate limit must not drop any.
		return fmt.Sprintf("log {\n burst = 1000\n}\nrule %q {\n key = \"'%s/' + label('store')\"\n}\n", name, name)
	}
	h := newTestDaemon(t, strings.Replace(validConfig, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1), discovery, listener.Addr().String(), rule("r0"))
	h.serve()
	var group sync.WaitGroup
	stop := make(chan bool)
	for n := range 12 {
		group.Go(func() {
			c := h.dial()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				store := fmt.Sprint("store_", (n+i)%3)
				body := fmt.Sprintf("/* verb=lookup,txn=%08x%08x,limit=5000,store=%s */ SELECT 1 FROM s_1.%s WHERE x\x00", n, i, store, store)
				fmt.Fprintf(c, "Q%s%s", binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body)
				if got := c.awaitMessageKinds(); got != "TDCZ" {
					t.Errorf("client %d, query %d: answer of the message kinds %s, want TDCZ", n, i, got)
					return
				}
			}
		})
	}
	for i := 1; i <= 40; i++ {
		text, logged := rule(fmt.Sprint("r", i)), logReloaded
		if i%4 == 0 {
			text, logged = "rule \"bad\" {\n key = \"label('store')\"\n}\n", logNotUsed
		}
		h.put(h.from.operatorPath, text)
		const changedTooOften = "changed too often"
		seen, tooOften := h.log.count(logged), h.log.count(changedTooOften)
		h.signals <- syscall.SIGHUP
		received := func() int {
			engine.mu.Lock()
			defer engine.mu.Unlock()
			return engine.received
		}
		for end := time.Now().Add(testTimeout); h.log.count(logged) <= seen && h.log.count(changedTooOften) <= tooOften || received() < 4*i; {
			if time.Sleep(time.Millisecond); time.Now().After(end) {
				t.Fatalf("the log does not contain %q in time, or queries stall: %s", logged, h.log)
			}
		}
	}
	close(stop)
	group.Wait()
	h.stop()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.overlaps > 0 || engine.received < 160 {
		t.Errorf("%d of %d loads overlapped another one of their store, want 0 of 160 or more", engine.overlaps, engine.received)
	}
}
