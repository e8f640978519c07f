package datapath

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// engineShare is what of a controller's statements comes to one engine each second, where all of the fleet is there.
const engineShare = float64(statementRate) / engineCount

// Bytes that lower layers add to what is counted at the engines: an IPv4 and a TCP header with timestamps for each of
// the three packets of a question, its reply and the acknowledgement of that, and for the seven of a connection's begin
// and end.
const (
	packetHeaders        = 52
	packetsPerExchange   = 3
	packetsPerConnection = 7
)

// quietSettle is after which a daemon's connections to engines that it reached at its start have ended: it closes
// them after 5 s without use.
const quietSettle = 6 * time.Second

// engineTraffic is what a daemon and so many engines said to each other, idle and under light load, for a while each.
type engineTraffic struct {
	idle, light standin.Traffic
	window      time.Duration
	service     outcomes
}

// talk measures what a controller and engines say that is no traffic.
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

// measureTraffic drives a daemon of its own before n engines.
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

// trafficRows are the rows of one condition.
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

// wireBytes is an estimate of what control talk puts on the wire each second: what was counted, with headers.
func wireBytes(t standin.Traffic, seconds float64) float64 {
	frames, bytes := t.Control()
	headers := (float64(frames)/2*packetsPerExchange + float64(t.Opened*packetsPerConnection)) * packetHeaders
	return (float64(bytes) + headers) / seconds
}
