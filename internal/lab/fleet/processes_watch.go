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

// serveEndpoint serves the endpoint that receives effects: it refuses effects whose token is lower than the highest one seen
// for their lease.
func (r *rig) serveEndpoint() {
	fencing := lease.NewFencingCheck(nil)
	last := map[lease.Name]struct {
		token lease.Token
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
				token, _ := strconv.ParseUint(words[1], 10, 64)
				id, _ := strconv.ParseUint(words[2], 10, 64)
				grant := lease.Grant{Name: lease.Name(words[0]), Token: lease.Token(token)}
				from, _ := strconv.Atoi(strings.TrimPrefix(words[3], "n"))
				r.mu.Lock()
				ok, _ := fencing.Admit(grant.Name, grant.Token)
				if ok {
					now := time.Now()
					if was := last[grant.Name]; was.token != grant.Token && was.token != 0 {
						r.report.HolderGaps = append(r.report.HolderGaps, now.Sub(was.at))
					}
					last[grant.Name] = struct {
						token lease.Token
						at    time.Time
					}{grant.Token, now}
					r.report.Effects++
					r.checker.effectAccepted("endpoint", from, node.Effect{Grant: grant, ID: id}, float64(now.Sub(r.began))/1e6)
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

// checkAccepted checks the effects that controllers accepted from each other, from the files in which they record them, and
// counts the restored digests.
func (r *rig) checkAccepted() {
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
				continue // the controller was killed while it wrote the line
			}
			at, _ := strconv.ParseInt(words[0], 10, 64)
			token, _ := strconv.ParseUint(words[2], 10, 64)
			from, _ := strconv.Atoi(strings.TrimPrefix(words[4], "n"))
			grant := lease.Grant{Name: lease.Name(words[1]), Token: lease.Token(token)}
			r.report.PeerEffects++
			r.mu.Lock()
			if was, ok := r.checker.holders[grant]; ok && was != from {
				r.checker.fail(float64(time.Unix(0, at).Sub(r.began))/1e6, "%s had effects of n%d and n%d under token %d", grant.Name, was, from, token)
			}
			r.checker.holders[grant] = from
			r.mu.Unlock()
		}
	}
}

// sendCommands sends commands to a node at random times and counts their answers. Commands do not count if the node was down
// or paused meanwhile.
func (r *rig) sendCommands(n *machineProc) {
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
			fields := fmt.Sprintf("verb=lookup,txn=%016x,cpu=5.0", id)
			statement := fmt.Sprintf("SELECT WORK(5) FROM sales_%d.orders", tables)
			verdict, err := standin.Ask(context.Background(), n.serveAddr, fields, statement, limit)
			took := time.Since(began)
			n.mu.Lock()
			out := n.cmd == nil || n.stopped || began.Before(n.downUntil)
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
				r.logf("%s sheds", n.name)
			case standin.Failed:
				r.report.Failed++
			case standin.Lost:
				r.report.Lost++
				r.logf("%s: no answer after %v: %v", n.name, took.Round(time.Millisecond), err)
			}
		})
	}
}

// settle waits until the fleet has recovered.
func (r *rig) settle() {
	began, why := time.Now(), ""
	for time.Since(began) < r.Settle && r.ctx.Err() == nil {
		if why = r.missing(); why == "" {
			r.mu.Lock()
			r.report.Recovery = time.Since(began)
			r.mu.Unlock()
			r.logf("recovered after %v", time.Since(began).Round(time.Millisecond))
			return
		}
		r.sleep(200 * time.Millisecond)
	}
	if r.ctx.Err() == nil {
		r.fail("not recovered %v after the last fault: %s", r.Settle, why)
	}
}

// missing returns what the fleet lacks to be recovered: all members alive at all controllers, all voters voting, and one
// holder for each lease; empty: nothing.
func (r *rig) missing() string {
	holders := map[string]int{}
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
			return fmt.Sprintf("%s considers %d of %d members alive", n.name, alive, r.Nodes)
		}
		for _, w := range s.Holds {
			holders[w]++
		}
		if n.number < r.Voters && s.Quorum.Role != "voting" {
			return fmt.Sprintf("%s is %s in the quorum: %s", n.name, s.Quorum.Role, s.Quorum.Reason)
		}
	}
	for i := range r.Leases {
		if name := fmt.Sprintf("work-%d", i); holders[name] != 1 {
			return fmt.Sprintf("%s has %d holders", name, holders[name])
		}
	}
	return ""
}
