package config

import "mintkeel/internal/core/fleet/members"

// status counts where versions are in force. Each member counts once: by its newest report if that is of the run that
// membership believes in and was heard lately of a member that is alive, else as not heard of.
func (r *Replica) status() *Status {
	r.mergeReport(r.reports.own, r.now)
	s := &Status{Latest: r.env.State().Latest(), ByVersion: map[uint64]int{}, CollectedFor: r.now - r.leadsChangedAt}
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
	h := r.reports.known[m.ID]
	if h == nil || h.Run != m.Run || h.heardAt < r.now-reportFreshTime || m.State != members.Alive {
		c := ControllerReport{ID: m.ID, Run: m.Run, Age: -1}
		if h != nil {
			c.Run, c.Applied, c.Reason, c.Age = h.Run, h.Applied, h.Reason, r.now-h.heardAt
		}
		s.addTo(&s.Unreachable, c)
		return
	}
	s.ByVersion[h.Applied]++
	c := ControllerReport{ID: m.ID, Run: h.Run, Applied: h.Applied, Reason: h.Reason, Age: r.now - h.heardAt}
	switch {
	case h.Applied == s.Latest.Number:
		if s.Latest.Number > 0 {
			s.InForce++
		}
	case h.Rejected == s.Latest.Number:
		s.addTo(&s.Rejected, c)
	default:
		s.addTo(&s.Behind, c)
	}
}

// addTo adds a controller to a addTo that has room.
func (s *Status) addTo(to *[]ControllerReport, c ControllerReport) {
	if len(*to) >= MaxListed {
		s.Omitted++
		return
	}
	*to = append(*to, c)
}
