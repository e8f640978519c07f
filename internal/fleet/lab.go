//go:build mintkeel_lab

package fleet

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

// labJob does the work of a rig's leases: an effect each 50 ms at an endpoint outside, and one at another controller, which
// writes down what it took. Between its look at the lease and the effect the rig may stop the process for as long as it
// likes. It is in builds of the lab alone.
type labJob struct {
	endpoint string
	taken    *os.File
	mu       sync.Mutex
	next     float64
	id       uint64
	strikes  chan string
	end      chan struct{}
}

func labJobs(folder string) []Job {
	endpoint := os.Getenv("MINTKEEL_LAB_ENDPOINT")
	if endpoint == "" {
		return nil
	}
	taken, err := os.OpenFile(folder+"-taken", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil
	}
	p := &labJob{endpoint: endpoint, taken: taken, strikes: make(chan string, 64), end: make(chan struct{})}
	go p.strike()
	return []Job{p}
}

func (p *labJob) Began(Context, lease.Grant)             {}
func (p *labJob) Ended(lease.Grant)                      {}
func (p *labJob) VerdictReceived(node.EffectResponse)    {}
func (p *labJob) StateReceived(Context, node.Checkpoint) {}
func (p *labJob) Close()                                 { close(p.end) }

func (p *labJob) MessageReceived(Context, members.ID, []byte) bool { return false }

func (p *labJob) Tick(h Context, now float64) {
	if now < p.next {
		return
	}
	p.next = now + 50
	all := h.Members()
	for _, w := range labLeases(h) {
		token, ok := h.CanAct(w)
		if !ok {
			continue
		}
		p.id++
		if to := all[int(p.id)%len(all)]; to.State == members.Alive {
			h.TryEffect(w, to.ID, p.id, nil)
		}
		select {
		case p.strikes <- fmt.Sprintf("%s %d %d %s\n", w, token, p.id, h.Self()):
		default:
		}
	}
}

// labLeases are the names of the leases that a rig uses.
func labLeases(h Context) (list []lease.Name) {
	for i := range 8 {
		list = append(list, lease.Name(fmt.Sprintf("work-%d", i)))
	}
	return list
}

func (p *labJob) EffectReceived(h Context, from members.ID, e node.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.taken, "%d %s %d %d %s\n", time.Now().UnixNano(), e.Grant.Name, e.Grant.Token, e.ID, from)
}

// strike sends effects to the endpoint, in order, on a connection that lasts.
func (p *labJob) strike() {
	var conn net.Conn
	for {
		select {
		case <-p.end:
			return
		case line := <-p.strikes:
			if conn == nil {
				c, err := net.DialTimeout("tcp", p.endpoint, time.Second)
				if err != nil {
					continue
				}
				conn = c
			}
			conn.SetDeadline(time.Now().Add(time.Second))
			if _, err := conn.Write([]byte(line)); err != nil {
				conn.Close()
				conn = nil
				continue
			}
			if reply, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.HasPrefix(reply, "ok") && !strings.HasPrefix(reply, "refused") {
				conn.Close()
				conn = nil
			}
		}
	}
}
