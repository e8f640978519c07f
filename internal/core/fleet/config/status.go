package config

import "mintkeel/internal/core/fleet/members"

// Status is where versions are in force, as the leader has collected it. No controller counts
// twice, and one that was not heard from lately does not count as having a version in force. It is
// shown to operators as JSON: the JSON names are those of earlier versions.
type Status struct {
	Latest Version `cbor:"1,keyasint"`
	// Members is the number of controllers that should have the latest version: all known ones but
	// those that left.
	Members int `cbor:"2,keyasint"`
	// InForce is how many of them reported it.
	InForce int `cbor:"3,keyasint"`
	// ByVersion counts the controllers that were heard from lately by the version they reported.
	ByVersion map[uint64]int `cbor:"4,keyasint" json:"Counts"`
	// Rejected, Behind and Unreachable list the other controllers, at most MaxListed each.
	Rejected    []ControllerReport `cbor:"5,keyasint,omitempty" json:"Refused"`
	Behind      []ControllerReport `cbor:"6,keyasint,omitempty"`
	Unreachable []ControllerReport `cbor:"7,keyasint,omitempty" json:"Unheard"`
	// Omitted is how many controllers the lists have no room for.
	Omitted int `cbor:"8,keyasint,omitempty" json:"More"`
	// CollectedFor is for how long the leader has collected, in ms: after a change of leader all
	// reports are sent again.
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

// status counts where versions are in force. Each member counts once: by its newest report, if that
// is of the run that membership believes in and was heard lately of a member that is alive; else as
// unreachable.
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

// addTo adds a controller to a list, if that has room.
func (s *Status) addTo(to *[]ControllerReport, c ControllerReport) {
	if len(*to) >= MaxListed {
		s.Omitted++
		return
	}
	*to = append(*to, c)
}
