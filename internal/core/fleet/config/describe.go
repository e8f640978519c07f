package config

// isDescribed tells whether the author or reason of a version is known.
func (v *Version) isDescribed() bool { return v.Author+v.Reason != "" }

// findDescription finds what is known here of the version of a document: summaries don't tell its author and reason. Its Number
// is 0 where it is known from a proposal.
func (r *Replica) findDescription(hash Hash) *Version {
	var known []Version
	known = append(known, r.newest, r.target, r.application.current)
	for _, p := range r.proposals {
		known = append(known, p.proposal.Version)
	}
	for _, c := range r.candidates {
		known = append(known, c.proposal.Version)
	}
	for _, h := range r.holds {
		if h.version != nil {
			known = append(known, *h.version)
		}
	}
	for _, v := range known {
		if v.Hash == hash && v.isDescribed() {
			return &v
		}
	}
	return nil
}

// describe adds to the first chunk of a document what is known of its version.
func (r *Replica) describe(c *Chunk) {
	if c.Offset == 0 {
		c.Version = r.findDescription(c.Hash)
	}
}

// hasBoundedText tells whether a description that a member sent is within the bounds of one.
func (v *Version) hasBoundedText() bool {
	return len(v.Author) <= MaxAuthor && len(v.Reason) <= MaxReason && len(v.ID.Origin) <= maxIDBytes
}

// addDescription takes in what a member told of a version. It is for people alone: nothing is decided by it, and a
// document is used by its hash.
func (r *Replica) addDescription(told *Version) {
	if told == nil || !told.hasBoundedText() {
		return
	}
	for _, v := range [...]*Version{&r.target, &r.newest, &r.application.current} {
		v.addDescription(told)
	}
}

// addDescription adds a description of this version, or of the proposal that it came from.
func (v *Version) addDescription(told *Version) {
	if told == nil || v.isDescribed() || told.Hash != v.Hash || told.Size != v.Size || told.Number != 0 && told.Number != v.Number {
		return
	}
	number := v.Number
	*v = *told
	v.Number = number
}
