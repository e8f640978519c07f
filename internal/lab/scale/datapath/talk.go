package datapath

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// engineShare is the rate of a controller's statements at one engine when the whole fleet runs.
const engineShare = float64(statementRate) / engineCount

// Overhead of the lower layers, which the engines do not count: an IPv4 and a TCP header with timestamps for each of the
// three packets of an exchange (request, reply and the acknowledgement of the reply) and of the seven packets that open and
// close a connection.
const (
	packetHeaders        = 52
	packetsPerExchange   = 3
	packetsPerConnection = 7
)

// quietSettle is the time until a daemon has closed the connections to engines that it opened at its start: it closes them
// after 5 s without use.
const quietSettle = 6 * time.Second

// engineTraffic is the traffic between a daemon and a number of engines in a window without load and in one under light load.
type engineTraffic struct {
	idle, light standin.Traffic
	window      time.Duration
	service     outcomes
}

// talk measures the control traffic between a controller and engines, which carries no queries.
func (b *bench) talk(ctx context.Context) ([]slope.Row, error) {
	all := make([]engineTraffic, len(b.peers))
	err := inParallelLimited(len(b.peers), b.peersParallel, func(i int) (err error) {
		all[i], err = b.measureTraffic(ctx, b.peers[i])
		return err
	})
	if err != nil {
		return nil, err
	}
	idle := trafficRows("idle", b.peers, all, func(t engineTraffic) standin.Traffic { return t.idle })
	light := trafficRows(fmt.Sprintf("%.2f statements/s an engine", engineShare), b.peers, all,
		func(t engineTraffic) standin.Traffic { return t.light })
	for i, n := range b.peers {
		light[0].Note += unansweredNote(fmt.Sprint(n), all[i].service)
	}
	return append(idle, light...), nil
}

// measureTraffic measures the traffic of a new daemon with n engines.
func (b *bench) measureTraffic(ctx context.Context, n int) (out engineTraffic, err error) {
	r, err := b.open(ctx, n)
	if err != nil {
		return out, err
	}
	defer r.close()
	if b.peersWindow > quietSettle {
		time.Sleep(quietSettle)
	}
	out.window = b.peersWindow
	before := r.traffic()
	time.Sleep(b.peersWindow)
	out.idle = r.traffic().Sub(before)
	rate := engineShare * float64(n)
	r.measureLoad(ctx, rate, b.peersSettle, r.drawUsual)
	before = r.traffic()
	out.service = r.measureLoad(ctx, rate, b.peersWindow, r.drawUsual)
	out.light = r.traffic().Sub(before)
	return out, ctx.Err()
}

// trafficRows returns the rows of one condition.
func trafficRows(condition string, sizes []int, all []engineTraffic, of func(engineTraffic) standin.Traffic) []slope.Row {
	kinds := []struct {
		cost, unit, method string
		budget             float64
		value              func(t standin.Traffic, seconds float64) float64
	}{
		{"pings and undos with their replies", "frames/s", methodSockets, 0, func(t standin.Traffic, seconds float64) float64 {
			frames, _ := t.Control()
			return float64(frames) / seconds
		}},
		{"bytes of these", "bytes/s", methodSockets, bytesBudget, func(t standin.Traffic, seconds float64) float64 {
			_, bytes := t.Control()
			return float64(bytes) / seconds
		}},
		{"load reports inside answers", "bytes/s", methodSockets, 0, func(t standin.Traffic, seconds float64) float64 {
			return float64(t.ReportBytes) / seconds
		}},
		{"connections opened", "connections/s", methodSockets, 0, func(t standin.Traffic, seconds float64) float64 {
			return float64(t.Opened) / seconds
		}},
		{"connections open", "connections", methodSockets, 0, func(t standin.Traffic, _ float64) float64 { return float64(t.Open) }},
		{"bytes with headers and handshakes", "bytes/s", methodComputed, bytesBudget, wireBytes},
	}
	var rows []slope.Row
	for _, kind := range kinds {
		row := slope.Row{Role: controllerRole, Cost: "talk with engines: " + kind.cost, Unit: kind.unit, Per: "engines",
			Condition: condition, Method: kind.method, Target: engineCount, Budget: kind.budget}
		for i, n := range sizes {
			value := kind.value(of(all[i]), all[i].window.Seconds())
			row.Points = append(row.Points, slope.Point{Size: float64(n), Value: value})
		}
		rows = append(rows, row)
	}
	return rows
}

// wireBytes estimates the bytes of control traffic on the wire per second: the counted bytes plus headers.
func wireBytes(t standin.Traffic, seconds float64) float64 {
	frames, bytes := t.Control()
	headers := (float64(frames)/2*packetsPerExchange + float64(t.Opened*packetsPerConnection)) * packetHeaders
	return (float64(bytes) + headers) / seconds
}
