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

// send carries a message over: it may be lost, take long or come twice, and comes from the run that sent it.
func (w *World) send(from *machine, s node.Send) {
	to := w.number(s.To)
	if to < 0 {
		return
	}
	w.configSent(from, to, &s.Message)
	var data []byte
	if !w.plan.Direct || w.traffic != nil {
		var err error
		if data, err = cbor.Marshal(s.Message); err != nil {
			w.Judge.fail(w.now, "message: %v", err)
			return
		}
	}
	w.countSent(from.number, to, &s.Message, len(data))
	w.Messages++
	w.Bytes += len(data) + 40
	if s.Message.Members != nil {
		w.TalkBytes += len(data) + 40
		w.Talk++
	}
	took := 0.3 + w.rng.Float64()
	if w.plan.Latency != nil {
		took = w.plan.Latency(from.number, to) + w.rng.Float64()
	}
	lost, twice := false, false
	if w.now < w.dropTo {
		lost, twice = w.rng.Float64() < w.drop, w.rng.Float64() < w.drop/4
	}
	if w.now < w.delayTo {
		took += w.rng.Float64() * w.delay
	}
	run := from.run
	arrive := func() {
		target := w.nodes[to]
		if target.core == nil || w.isBlocked(from.number, to) || from.run != run && from.core != nil {
			return // a connection of an earlier run ends when the next one connects
		}
		w.deliver(target, func() {
			m := s.Message
			if !w.plan.Direct {
				m = node.Message{}
				if err := cbor.Unmarshal(data, &m); err != nil {
					w.Judge.fail(w.now, "message: %v", err)
					return
				}
			}
			if m.Granted != nil && m.Granted.To.Run == target.run {
				w.Promises.Came(target.run, m.Granted, w.now)
			}
			target.core.Receive(w.local(target), from.id, &m)
		})
	}
	if s.Message.Renew != nil {
		w.Promises.Sent(run, s.Message.Renew, w.now)
	}
	if w.isBlocked(from.number, to) || lost {
		return
	}
	w.at(w.now+took, arrive)
	if twice {
		w.at(w.now+took*2+1, arrive)
	}
}
