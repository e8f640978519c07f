package fleet

import (
	"bufio"
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/lab/standin"
)

// serveEndpoint is the endpoint outside: it remembers the highest epoch of each work, and refuses lower ones.
func (r *rig) serveEndpoint() {
	gate := lease.NewFencingCheck(nil)
	last := map[lease.Name]struct {
		epoch lease.Token
		at    time.Time
	}{}
	for {
		conn, err := r.endpoint.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			defer context.AfterFunc(r.ctx, func() { conn.Close() })()
			in := bufio.NewReader(conn)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				words := strings.Fields(line)
				if len(words) != 4 {
					return
				}
				epoch, _ := strconv.ParseUint(words[1], 10, 64)
				id, _ := strconv.ParseUint(words[2], 10, 64)
				claim := lease.Grant{Name: lease.Name(words[0]), Token: lease.Token(epoch)}
				from, _ := strconv.Atoi(strings.TrimPrefix(words[3], "n"))
				r.mu.Lock()
				ok, _ := gate.Admit(claim.Name, claim.Token)
				if ok {
					now := time.Now()
					if was := last[claim.Name]; was.epoch != claim.Token && was.epoch != 0 {
						r.report.Free = append(r.report.Free, now.Sub(was.at))
					}
					last[claim.Name] = struct {
						epoch lease.Token
						at    time.Time
					}{claim.Token, now}
					r.report.Effects++
					r.checker.effectAccepted("endpoint", from, node.Effect{Grant: claim, ID: id}, float64(now.Sub(r.began))/1e6)
				} else {
					r.report.Refused++
				}
				r.mu.Unlock()
				reply := "ok\n"
				if !ok {
					reply = "refused\n"
				}
				if _, err := conn.Write([]byte(reply)); err != nil {
					return
				}
			}
		}()
	}
}

// read judges what other controllers wrote down that they took.
func (r *rig) read() {
	for _, n := range r.nodes {
		log, _ := os.ReadFile(filepath.Join(n.dir, "log"))
		r.report.Digests += len(digestLine.FindAll(log, -1))
		text, err := os.ReadFile(filepath.Join(n.dir, "fleet-taken"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			words := strings.Fields(line)
			if len(words) != 5 || !strings.HasSuffix(line, "\n") {
				continue // it was killed as it wrote
			}
			at, _ := strconv.ParseInt(words[0], 10, 64)
			epoch, _ := strconv.ParseUint(words[2], 10, 64)
			from, _ := strconv.Atoi(strings.TrimPrefix(words[4], "n"))
			claim := lease.Grant{Name: lease.Name(words[1]), Token: lease.Token(epoch)}
			r.report.Taken++
			r.mu.Lock()
			if was, ok := r.checker.holders[claim]; ok && was != from {
				r.checker.fail(float64(time.Unix(0, at).Sub(r.began))/1e6, "%s had effects of n%d and n%d under token %d", claim.Name, was, from, epoch)
			}
			r.checker.holders[claim] = from
			r.mu.Unlock()
		}
	}
}

// clients has commands asked of a node, and counts their answers. A node that was killed or stood still meanwhile owes none.
func (r *rig) clients(n *machineProc) {
	rng := rand.New(rand.NewSource(r.Seed*31 + int64(n.number)))
	r.sleep(startTime)
	var group sync.WaitGroup
	defer group.Wait()
	for r.sleep(time.Duration(rng.ExpFloat64() / r.Rate * 1e9)) {
		id, tables := rng.Uint64(), rng.Intn(8)
		began := time.Now()
		if n.isOut(began) {
			continue
		}
		group.Go(func() {
			const limit = 1500 * time.Millisecond
			c, err := standin.Dial(context.Background(), n.serve, time.Second)
			verdict := standin.Lost
			if err == nil {
				verdict, _ = c.Query(fmt.Sprintf("verb=lookup,txn=%016x,cpu=5.0", id), fmt.Sprintf("SELECT WORK(5) FROM sales_%d.orders", tables), limit)
				c.Close()
			}
			n.mu.Lock()
			out := n.cmd == nil || n.stopped || began.Before(n.down)
			n.mu.Unlock()
			r.mu.Lock()
			defer r.mu.Unlock()
			if out || r.ctx.Err() != nil {
				return
			}
			r.report.Commands++
			switch verdict {
			case standin.Answered:
				r.report.Answered++
			case standin.Shed:
				r.report.Shed++
				r.tell("%s sheds", n.name)
			case standin.Failed:
				r.report.Failed++
			case standin.Lost:
				r.report.Lost++
			}
		})
	}
}

// settle waits until all is well again.
func (r *rig) settle() {
	began, why := time.Now(), ""
	for time.Since(began) < r.Settle && r.ctx.Err() == nil {
		if why = r.whole(); why == "" {
			r.mu.Lock()
			r.report.Whole = time.Since(began)
			r.mu.Unlock()
			r.tell("whole after %v", time.Since(began).Round(time.Millisecond))
			return
		}
		r.sleep(200 * time.Millisecond)
	}
	if r.ctx.Err() == nil {
		r.broke("not whole %v after the last fault: %s", r.Settle, why)
	}
}

func (r *rig) whole() string {
	owners := map[string]int{}
	for _, n := range r.nodes {
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "status"})
		cancel()
		if err != nil {
			return fmt.Sprintf("%s: %v", n.name, err)
		}
		alive := 0
		for _, m := range s.Members {
			if m.State == "alive" {
				alive++
			}
		}
		if alive != r.Nodes {
			return fmt.Sprintf("%s takes %d of %d as alive", n.name, alive, r.Nodes)
		}
		for _, w := range s.Holds {
			owners[w]++
		}
		if n.number < r.Voters && s.Quorum.Role != "voting" {
			return fmt.Sprintf("%s is %s in the council: %s", n.name, s.Quorum.Role, s.Quorum.Reason)
		}
	}
	for i := range r.Leases {
		if name := fmt.Sprintf("work-%d", i); owners[name] != 1 {
			return fmt.Sprintf("%s has %d owners", name, owners[name])
		}
	}
	return ""
}
