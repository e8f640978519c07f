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
	rigLeases        = 8    // number of leases that a rig uses, named work-0 and up
	effectInterval   = 50.0 // ms between two effects of a lease
	maxQueuedEffects = 64   // lines queued for the rig's endpoint; further ones are dropped
	endpointTimeout  = time.Second
)

// effectJob is the job of a rig's leases. Every effectInterval it produces one effect at the rig's
// endpoint and one at another controller, which logs the effects that it accepts. The rig may stop
// the process between the check of the lease and the effect, for any time.
type effectJob struct {
	endpoint      string
	accepted      *os.File // log with one line for each effect that passed the fencing check
	mu            sync.Mutex
	nextEffectsAt float64 // ms, when the next effects are due
	lastEffectID  uint64  // of the last effect
	queue         chan string
	done          chan struct{}
}

// Jobs returns the jobs that the rig adds to those of the service; folder is the fleet's folder. It
// returns none if the rig names no endpoint.
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

// Tick starts the effects of the leases that this controller holds.
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

// EffectReceived logs an effect that passed the fencing check.
func (j *effectJob) EffectReceived(_ job.Context, from members.ID, effect node.Effect) {
	j.mu.Lock()
	defer j.mu.Unlock()
	grant := effect.Grant
	fmt.Fprintf(j.accepted, "%d %s %d %d %s\n", time.Now().UnixNano(), grant.Name, grant.Token,
		effect.ID, from)
}

// sendEffects sends queued effects to the endpoint in order, and reuses the connection until it
// fails.
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

// sendEffect sends one effect and waits for the answer. It returns the connection for the next
// effect, or nil if it failed.
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
