package config

import "mintkeel/internal/core/fleet/members"

// status counts where versions are in force. Each member counts once: by its newest report if that is of the run that
// membership believes in and was heard lately of a member that is alive, else as not heard of.
func (r *Replica) status() *Status {
	r.mergeReport(r.reports.own, r.now)
	s := &Status{Latest: r.env.State().Latest(), Counts: map[uint64]int{}, Since: r.now - r.ledSince}
	for _, m := range r.env.Members() {
		if m.State != members.Left {
			s.Members++
			r.countMember(s, m)
		}
	}
	return s
}

// countMember counts one member.
func (r *Replica) countMember(s *Status, m members.Member) {
	h := r.reports.heard[m.ID]
	if h == nil || h.Run != m.Run || h.at < r.now-freshFor || m.State != members.Alive {
		c := ControllerReport{ID: m.ID, Run: m.Run, Age: -1}
		if h != nil {
			c.Run, c.Applied, c.Reason, c.Age = h.Run, h.Applied, h.Reason, r.now-h.at
		}
		s.list(&s.Unheard, c)
		return
	}
	s.Counts[h.Applied]++
	c := ControllerReport{ID: m.ID, Run: h.Run, Applied: h.Applied, Reason: h.Reason, Age: r.now - h.at}
	switch {
	case h.Applied == s.Latest.Number:
		if s.Latest.Number > 0 {
			s.InForce++
		}
	case h.Refused == s.Latest.Number:
		s.list(&s.Refused, c)
	default:
		s.list(&s.Behind, c)
	}
}

// list adds a controller to a list that has room.
func (s *Status) list(to *[]ControllerReport, c ControllerReport) {
	if len(*to) >= MaxListed {
		s.More++
		return
	}
	*to = append(*to, c)
}
