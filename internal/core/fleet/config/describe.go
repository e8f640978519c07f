package config

// describe adds to the first chunk of a document what is known of the version that it is sent for: its author and reason,
// which summaries don't tell.
func (r *Replica) describe(c *Chunk) {
	if c.Offset != 0 {
		return
	}
	for _, v := range [...]Version{r.newest, r.target, r.take.current} {
		if v.Hash == c.Hash && v.described() {
			c.About = &v
			return
		}
	}
}

// described tells whether the author or reason of a version is known.
func (v *Version) described() bool { return v.Author+v.Reason != "" }

// takeDescription takes in what a member told of a version. It is for people alone: nothing is decided by it, and a
// document is used by its hash.
func (r *Replica) takeDescription(told *Version) {
	if told == nil || len(told.Author) > MaxAuthor || len(told.Reason) > MaxReason || len(told.ID.Origin) > maxID {
		return
	}
	for _, v := range [...]*Version{&r.target, &r.newest, &r.take.current} {
		if v.summary() == told.summary() && !v.described() {
			*v = *told
		}
	}
}

// describeOwn adds what is known of a version that was proposed here: its document is here already, so nobody sends it.
func (r *Replica) describeOwn(v Version) Version {
	for _, p := range r.proposals {
		if own := p.proposal.Version; own.Hash == v.Hash && own.Size == v.Size && p.proposal.Expect+1 == v.Number && !v.described() {
			own.Number = v.Number
			return own
		}
	}
	return v
}
