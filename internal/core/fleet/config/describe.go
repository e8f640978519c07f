package config

// described tells whether the author or reason of a version is known.
func (v *Version) described() bool { return v.Author+v.Reason != "" }

// description finds what is known here of the version of a document: summaries don't tell its author and reason. Its Number
// is 0 where it is known from a proposal.
func (r *Replica) description(hash Hash) *Version {
	var known []Version
	known = append(known, r.newest, r.target, r.take.current)
	for _, p := range r.proposals {
		known = append(known, p.proposal.Version)
	}
	for _, c := range r.queue {
		known = append(known, c.proposal.Version)
	}
	for _, h := range r.holds {
		if h.about != nil {
			known = append(known, *h.about)
		}
	}
	for _, v := range known {
		if v.Hash == hash && v.described() {
			return &v
		}
	}
	return nil
}

// describe adds to the first chunk of a document what is known of its version.
func (r *Replica) describe(c *Chunk) {
	if c.Offset == 0 {
		c.About = r.description(c.Hash)
	}
}

// bounded tells whether a description that a member sent is within the bounds of one.
func (v *Version) bounded() bool {
	return len(v.Author) <= MaxAuthor && len(v.Reason) <= MaxReason && len(v.ID.Origin) <= maxID
}

// takeDescription takes in what a member told of a version. It is for people alone: nothing is decided by it, and a
// document is used by its hash.
func (r *Replica) takeDescription(told *Version) {
	if told == nil || !told.bounded() {
		return
	}
	for _, v := range [...]*Version{&r.target, &r.newest, &r.take.current} {
		v.complete(told)
	}
}

// complete adds a description of this version, or of the proposal that it came from.
func (v *Version) complete(told *Version) {
	if told == nil || v.described() || told.Hash != v.Hash || told.Size != v.Size || told.Number != 0 && told.Number != v.Number {
		return
	}
	number := v.Number
	*v = *told
	v.Number = number
}
