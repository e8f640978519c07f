package membership

import (
	"context"

	"mintkeel/internal/core/fleet/members"
)

const (
	warmUpTimeout = 300_000.0 // ms within which all members of a new fleet should know each other
	measuredTime  = 60_000.0  // ms over which costs are averaged
	eventInterval = 8_000.0   // ms between two deaths
	pauseInterval = 1000.0    // ms between two pauses, each of a controller that is drawn
	minPause      = 200.0
	pauseSpread   = 2800.0
	restartTime   = 5_000.0   // ms within which the controllers of a restarting zone are back
	cutTime       = 300_000.0 // ms for which a region is cut off
)

// costs are the costs of one controller, as the mean over the fleet.
type costs struct {
	bytes, handshakeBytes float64 // sent, per second
	messages, wakeUps     float64 // per second
	falseSuspicions       float64 // an hour, of the whole fleet
	falseDeaths           float64 // an hour, of the whole fleet
	busiest               float64 // bytes sent in the busiest second of any controller
}

// outcome is the result of one seed of a scenario.
type outcome struct {
	costs     costs
	healed    costs     // in the minute after a region is back
	deaths    []float64 // ms until a death is known to all
	joins     []float64 // ms until a new controller is known to all
	converged []float64 // ms until all know all members again
}

// disturbance is the condition under which a fleet is measured.
type disturbance struct {
	name   string
	loss   float64
	pauses bool
}

var (
	atRest     = disturbance{name: "at rest"}
	tenthLost  = disturbance{name: "10% loss", loss: 0.1}
	withPauses = disturbance{name: "each second one pauses for 0.2 to 3 s", pauses: true}
)

// warmUp starts a fleet and runs it until all know all members, and then until the gossip about the start has ceased.
func warmUp(ctx context.Context, p plan) (*simulation, error) {
	s := newSimulation(p)
	if err := s.runUntil(ctx, 2*startWindow); err != nil {
		return nil, err
	}
	err := s.runUntilDone(ctx, []*watch{s.convergenceWatch()}, warmUpTimeout)
	if err == nil {
		err = s.runUntil(ctx, s.now+20_000) // for the remaining gossip about the start
	}
	return s, err
}

// resetCosts starts a measurement of costs.
func (s *simulation) resetCosts() {
	s.counters, s.falselyDead, s.since = counters{}, map[members.Member]bool{}, s.now
	for _, c := range s.controllers {
		c.busiest, c.bytesInSecond = 0, 0
	}
}

// costs returns the costs since resetCosts.
func (s *simulation) costs() costs {
	seconds := (s.now - s.since) / 1000
	size := float64(len(s.running()))
	per := func(n int) float64 { return float64(n) / size / seconds }
	hourly := 3600 / seconds
	k := &s.counters
	result := costs{
		bytes: per(k.bytes), handshakeBytes: per(k.handshakeBytes),
		messages: per(k.messages), wakeUps: per(k.timers + k.messages),
		falseSuspicions: float64(k.falseSuspicions) * hourly, falseDeaths: float64(k.falseDeaths) * hourly,
	}
	for _, c := range s.controllers {
		result.busiest = max(result.busiest, float64(c.busiest))
	}
	return result
}

// measureCosts runs for a time and returns its costs.
func (s *simulation) measureCosts(ctx context.Context, length float64) (costs, error) {
	s.resetCosts()
	err := s.runUntil(ctx, s.now+length)
	return s.costs(), err
}

// applyDisturbance starts a disturbance, which lasts until the end of the simulation.
func (s *simulation) applyDisturbance(t disturbance) {
	s.network.loss = t.loss
	if t.pauses {
		s.pause()
	}
}

// pause pauses one controller, and schedules the next pause a second later.
func (s *simulation) pause() {
	c := s.controllers[s.rng.Intn(len(s.controllers))]
	c.pausedUntil = max(c.pausedUntil, s.now+minPause+pauseSpread*s.rng.Float64())
	s.at(s.now+pauseInterval, s.pause)
}

// steady measures a fleet's costs, and then alternately kills a controller and starts a new one.
func steady(ctx context.Context, p plan, t disturbance, events int) (outcome, error) {
	s, err := warmUp(ctx, p)
	if err != nil {
		return outcome{}, err
	}
	s.applyDisturbance(t)
	var o outcome
	if o.costs, err = s.measureCosts(ctx, measuredTime); err != nil {
		return outcome{}, err
	}
	var deaths, joins []*watch
	for i := range events {
		dead := s.controllers[min(voters, p.size/2)+i] // no voter
		deaths = append(deaths, s.deathWatch(dead))
		s.stop(dead)
		if err := s.runUntilDone(ctx, append(deaths, joins...), eventInterval/2); err != nil {
			return outcome{}, err
		}
		started := s.addController()
		s.start(started)
		joins = append(joins, s.startWatch(started))
		if err := s.runUntilDone(ctx, append(deaths, joins...), eventInterval/2); err != nil {
			return outcome{}, err
		}
	}
	if err := s.runUntilDone(ctx, append(deaths, joins...), watchTimeout); err != nil {
		return outcome{}, err
	}
	o.deaths, o.joins = times(deaths), times(joins)
	return o, nil
}

// zoneRestarts kills a tenth of a fleet at once. Each of these controllers starts again within restartTime. The time to
// convergence counts from then on.
func zoneRestarts(ctx context.Context, p plan) (outcome, error) {
	s, err := warmUp(ctx, p)
	if err != nil {
		return outcome{}, err
	}
	s.resetCosts()
	for i := range max(1, p.size/10) {
		c := s.controllers[p.size-1-regions*i] // all of one region
		s.stop(c)
		s.at(s.now+restartTime*s.rng.Float64(), func() { s.start(c) })
	}
	if err := s.runUntil(ctx, s.now+restartTime); err != nil {
		return outcome{}, err
	}
	o, err := s.runUntilConverged(ctx)
	o.costs = s.costs()
	return o, err
}

// runUntilConverged runs until all know all members, and returns the time that it took.
func (s *simulation) runUntilConverged(ctx context.Context) (outcome, error) {
	whole := []*watch{s.convergenceWatch()}
	err := s.runUntilDone(ctx, whole, watchTimeout)
	return outcome{converged: times(whole)}, err
}

// regionCutOff cuts off a third of a fleet for five minutes. The time to convergence counts from the end of the partition.
func regionCutOff(ctx context.Context, p plan) (outcome, error) {
	s, err := warmUp(ctx, p)
	if err != nil {
		return outcome{}, err
	}
	s.network.cutOff = regions - 1
	during, err := s.measureCosts(ctx, cutTime)
	if err != nil {
		return outcome{}, err
	}
	s.network.cutOff = -1
	s.resetCosts()
	back := s.now
	o, err := s.runUntilConverged(ctx)
	if err != nil {
		return outcome{}, err
	}
	err = s.runUntil(ctx, max(s.now, back+measuredTime))
	o.costs, o.healed = during, s.costs()
	return o, err
}
