package hollow

import "slices"

// ResourceUsage is the traffic and resource usage of a controller in an interval.
type ResourceUsage struct {
	Sent      float64 // bytes per second, with headers
	Received  float64 // bytes per second, with headers
	Opened    float64 // connections per second
	Out       float64 // connections open at the end of the interval
	In        float64
	Processor float64 // cores
	Private   float64 // bytes
	Resident  float64 // bytes
	Heap      float64 // bytes
	WakeUps   float64 // per second
	Files     float64 // descriptors open
}

// Interval is the time between two samples of all processes of a fleet.
type Interval struct {
	layout        [][]int
	before, after []Sample
}

// Mean returns the mean usage of the given controllers. The usage of a process is divided evenly among its controllers.
func (v Interval) Mean(numbers ...int) ResourceUsage {
	var sum ResourceUsage
	for _, number := range numbers {
		sum.add(v.ofController(number))
	}
	return sum.dividedBy(float64(len(numbers)))
}

func (v Interval) ofController(number int) ResourceUsage {
	for i, share := range v.layout {
		if !slices.Contains(share, number) {
			continue
		}
		before, after := v.before[i], v.after[i]
		seconds := after.At.Sub(before.At).Seconds()
		with := float64(len(share))
		sent, was := usageOf(after, number), usageOf(before, number)
		flow := sent.Sent.Minus(was.Sent)
		received := v.received(number)
		return ResourceUsage{
			Sent:      float64(flow.Forward()+received.Backward()) / seconds,
			Received:  float64(flow.Backward()+received.Forward()) / seconds,
			Opened:    float64(flow.Opened) / seconds,
			Out:       float64(sent.Out),
			In:        float64(sent.In),
			Processor: (after.Process.Processor - before.Process.ProcessorAfter) / seconds / with,
			WakeUps:   float64(after.Process.WakeUps-before.Process.WakeUpsAfter) / seconds / with,
			Private:   after.Process.Private / with,
			Resident:  after.Process.Resident / with,
			Heap:      after.Process.Heap / with,
			Files:     float64(after.Process.Descriptors) / with,
		}
	}
	return ResourceUsage{}
}

// received returns the traffic over connections that others opened to a controller.
func (v Interval) received(number int) (sum Flow) {
	for i := range v.before {
		sum = sum.Plus(v.after[i].Received[number].Minus(v.before[i].Received[number]))
	}
	return sum
}

func usageOf(s Sample, number int) Usage {
	for _, u := range s.Controllers {
		if u.Number == number {
			return u
		}
	}
	return Usage{}
}

func (s *ResourceUsage) add(t ResourceUsage) {
	s.Sent += t.Sent
	s.Received += t.Received
	s.Opened += t.Opened
	s.Out += t.Out
	s.In += t.In
	s.Processor += t.Processor
	s.Private += t.Private
	s.Resident += t.Resident
	s.Heap += t.Heap
	s.WakeUps += t.WakeUps
	s.Files += t.Files
}

func (s ResourceUsage) dividedBy(n float64) ResourceUsage {
	return ResourceUsage{s.Sent / n, s.Received / n, s.Opened / n, s.Out / n, s.In / n, s.Processor / n, s.Private / n, s.Resident / n,
		s.Heap / n, s.WakeUps / n, s.Files / n}
}
