//go:build mintkeel_lab

package faultinjection

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
	"mintkeel/internal/fleet/job"
)

const (
	rigLeases        = 8    // leases that a rig uses, work-0 and up
	effectInterval   = 50.0 // ms between two effects of each lease
	maxQueuedEffects = 64   // for the rig's endpoint; one more is dropped
	endpointTimeout  = time.Second
)

// effectJob does the work of a rig's leases: an effect each 50 ms at an endpoint outside, and one
// at another controller, which writes down what it accepted. Between its check of the lease and the
// effect the rig may stop the process for any time.
type effectJob struct {
	endpoint      string
	accepted      *os.File // one line for each effect that passed the fencing check
	mu            sync.Mutex
	nextEffectsAt float64 // ms, when the next effects are due
	lastEffectID  uint64  // of the last effect
	queue         chan string
	done          chan struct{}
}

// Jobs are the jobs that the rig adds to those of the service; folder is the fleet's.
func Jobs(folder string) []job.Job {
	endpoint := os.Getenv("MINTKEEL_LAB_ENDPOINT")
	if endpoint == "" {
		return nil
	}
	accepted, err := os.OpenFile(folder+"-taken", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil
	}
	j := &effectJob{
		endpoint: endpoint,
		accepted: accepted,
		queue:    make(chan string, maxQueuedEffects),
		done:     make(chan struct{}),
	}
	go j.sendEffects()
	return []job.Job{j}
}

func (j *effectJob) LeaseAcquired(job.Context, lease.Grant)     {}
func (j *effectJob) LeaseLost(lease.Grant)                      {}
func (j *effectJob) EffectResponseReceived(node.EffectResponse) {}
func (j *effectJob) StateReceived(job.Context, node.Checkpoint) {}
func (j *effectJob) Close()                                     { close(j.done) }

func (j *effectJob) MessageReceived(job.Context, members.ID, []byte) bool { return false }

// Tick begins the effects of the leases that this controller holds.
func (j *effectJob) Tick(jobContext job.Context, now float64) {
	if now < j.nextEffectsAt {
		return
	}
	j.nextEffectsAt = now + effectInterval
	known := jobContext.Members()
	for i := range rigLeases {
		name := lease.Name(fmt.Sprintf("work-%d", i))
		token, held := jobContext.CanAct(name)
		if !held {
			continue
		}
		j.lastEffectID++
		if to := known[int(j.lastEffectID)%len(known)]; to.State == members.Alive {
			jobContext.TryEffect(name, to.ID, j.lastEffectID, nil)
		}
		select {
		case j.queue <- fmt.Sprintf("%s %d %d %s\n", name, token, j.lastEffectID, jobContext.Self()):
		default:
		}
	}
}

// EffectReceived writes down an effect that passed the fencing check.
func (j *effectJob) EffectReceived(_ job.Context, from members.ID, effect node.Effect) {
	j.mu.Lock()
	defer j.mu.Unlock()
	grant := effect.Grant
	fmt.Fprintf(j.accepted, "%d %s %d %d %s\n", time.Now().UnixNano(), grant.Name, grant.Token,
		effect.ID, from)
}

// sendEffects sends effects to the endpoint, in order, on one connection while it lasts.
func (j *effectJob) sendEffects() {
	var conn net.Conn
	for {
		select {
		case <-j.done:
			return
		case line := <-j.queue:
			conn = j.sendEffect(conn, line)
		}
	}
}

// sendEffect sends one effect and awaits the answer. It returns the connection for the next one;
// nil: it failed.
func (j *effectJob) sendEffect(conn net.Conn, line string) net.Conn {
	if conn == nil {
		opened, err := net.DialTimeout("tcp", j.endpoint, endpointTimeout)
		if err != nil {
			return nil
		}
		conn = opened
	}
	conn.SetDeadline(time.Now().Add(endpointTimeout))
	if _, err := conn.Write([]byte(line)); err != nil {
		conn.Close()
		return nil
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	answered := strings.HasPrefix(reply, "ok") || strings.HasPrefix(reply, "refused")
	if err != nil || !answered {
		conn.Close()
		return nil
	}
	return conn
}
