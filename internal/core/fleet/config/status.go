package config

import "mintkeel/internal/core/fleet/members"

// Status shows which version is in force at which controllers, as collected by the leader. Each
// controller counts once, and one that was not heard from within reportFreshTime counts for no
// version. It is shown to operators as JSON: the JSON names are those of earlier versions.
type Status struct {
	Latest Version `cbor:"1,keyasint"`
	// Members is the number of controllers that should have the latest version: all known ones but
	// those that left.
	Members int `cbor:"2,keyasint"`
	// InForce is how many of them reported it.
	InForce int `cbor:"3,keyasint"`
	// ByVersion counts the controllers that were heard from within reportFreshTime by the version they
	// reported.
	ByVersion map[uint64]int `cbor:"4,keyasint" json:"Counts"`
	// Rejected, Behind and Unreachable list the other controllers, at most MaxListed each.
	Rejected    []ControllerReport `cbor:"5,keyasint,omitempty" json:"Refused"`
	Behind      []ControllerReport `cbor:"6,keyasint,omitempty"`
	Unreachable []ControllerReport `cbor:"7,keyasint,omitempty" json:"Unheard"`
	// Omitted is how many controllers the lists have no room for.
	Omitted int `cbor:"8,keyasint,omitempty" json:"More"`
	// CollectedFor is the time in ms for which the leader has collected reports: after a change of
	// leader all are sent again.
	CollectedFor float64 `cbor:"9,keyasint" json:"Since"`
}

// ControllerReport is one controller in a Status.
type ControllerReport struct {
	ID      members.ID `cbor:"1,keyasint"`
	Run     uint64     `cbor:"2,keyasint"`
	Applied uint64     `cbor:"3,keyasint"`
	Reason  string     `cbor:"4,keyasint,omitempty"`
	Age     float64    `cbor:"5,keyasint"` // ms since it was last heard from; below 0: never
}

// status returns the Status. Each member counts once: by its newest report if the member is alive
// and the report is fresh and of the run that membership has, else as unreachable.
func (r *Replica) status() *Status {
	r.mergeReport(r.reports.own, r.now)
	s := &Status{
		Latest:       r.env.State().Latest(),
		ByVersion:    map[uint64]int{},
		CollectedFor: r.now - r.leadsChangedAt,
	}
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
	report := r.reports.known[m.ID]
	c := ControllerReport{ID: m.ID, Run: m.Run, Age: -1}
	if report != nil {
		c.Run = report.Run
		c.Applied = report.Applied
		c.Reason = report.Reason
		c.Age = r.now - report.heardAt
	}
	current := report != nil && report.Run == m.Run && report.heardAt >= r.now-reportFreshTime
	if !current || m.State != members.Alive {
		s.addTo(&s.Unreachable, c)
		return
	}
	s.ByVersion[report.Applied]++
	switch {
	case report.Applied == s.Latest.Number:
		if s.Latest.Number > 0 {
			s.InForce++
		}
	case report.Rejected == s.Latest.Number:
		s.addTo(&s.Rejected, c)
	default:
		s.addTo(&s.Behind, c)
	}
}

// addTo adds a controller to a list, or counts it as omitted if the list is full.
func (s *Status) addTo(to *[]ControllerReport, c ControllerReport) {
	if len(*to) >= MaxListed {
		s.Omitted++
		return
	}
	*to = append(*to, c)
}
