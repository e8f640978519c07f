package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

func (w *World) number(id members.ID) int {
	if i, ok := w.numbers[id]; ok {
		return i
	}
	return -1
}

func (w *World) isBlocked(a, b int) bool { return w.now < w.blocked[[2]int{a, b}] }

// send delivers a message, which may be lost, delayed or duplicated. It is dropped if the sender runs anew on its arrival.
func (w *World) send(from *machine, s node.Envelope) {
	to := w.number(s.To)
	if to < 0 {
		return
	}
	w.interceptConfig(from, to, &s.Message)
	data, err := w.encode(&s.Message)
	if err != nil {
		w.Checker.fail(w.now, "message: %v", err)
		return
	}
	w.countMessage(from.number, to, &s.Message, len(data))
	took, lost, twice := w.drawDelivery(from.number, to)
	run := from.run
	arrive := func() {
		target := w.nodes[to]
		if target.core == nil || w.isBlocked(from.number, to) || from.run != run && from.core != nil {
			return // a connection of an earlier run ends when the next run connects
		}
		w.deliver(target, func() { w.receive(target, from.id, &s.Message, data) })
	}
	if s.Message.Renew != nil {
		w.Renewals.Sent(run, s.Message.Renew, w.now)
	}
	if w.isBlocked(from.number, to) || lost {
		return
	}
	w.at(w.now+took, arrive)
	if twice {
		w.at(w.now+took*2+1, arrive)
	}
}

// encode returns the encoded message, or nil where messages are passed without encoding and no bytes are counted.
func (w *World) encode(m *node.Message) ([]byte, error) {
	if w.plan.Direct && w.traffic == nil {
		return nil, nil
	}
	return cbor.Marshal(m)
}

func (w *World) countMessage(from, to int, m *node.Message, bytes int) {
	w.countSent(from, to, m, bytes)
	if m.Members != nil {
		w.MembershipBytes += bytes + frameBytes
	}
}

// drawDelivery draws the delay of a message in ms, and whether it is lost or duplicated.
func (w *World) drawDelivery(from, to int) (took float64, lost, twice bool) {
	took = 0.3 + w.rng.Float64()
	if w.plan.Latency != nil {
		took = w.plan.Latency(from, to) + w.rng.Float64()
	}
	if w.now < w.dropUntil {
		lost, twice = w.rng.Float64() < w.drop, w.rng.Float64() < w.drop/4
	}
	if w.now < w.delayUntil {
		took += w.rng.Float64() * w.delay
	}
	return took, lost, twice
}

// receive decodes a message and passes it to a machine's core.
func (w *World) receive(target *machine, from members.ID, sent *node.Message, data []byte) {
	m := *sent
	if !w.plan.Direct {
		m = node.Message{}
		if err := cbor.Unmarshal(data, &m); err != nil {
			w.Checker.fail(w.now, "message: %v", err)
			return
		}
	}
	if m.RenewResponse != nil && m.RenewResponse.To.Run == target.run {
		w.Renewals.Answered(target.run, m.RenewResponse, w.now)
	}
	target.core.Receive(w.local(target), from, &m)
}
