package config

// isDescribed reports whether the author or reason of a version is known.
func (v *Version) isDescribed() bool { return v.Author+v.Reason != "" }

// hasBoundedText reports whether the texts of a version that a member sent are within their bounds.
func (v *Version) hasBoundedText() bool {
	return len(v.Author) <= MaxAuthor && len(v.Reason) <= MaxReason && len(v.ID.Origin) <= maxIDBytes
}

// addDescription fills in author, reason, time and origin from a description of this version or of
// the proposal that it came from.
func (v *Version) addDescription(description *Version) {
	if description == nil || v.isDescribed() {
		return
	}
	sameDocument := description.Hash == v.Hash && description.Size == v.Size
	sameNumber := description.Number == 0 || description.Number == v.Number
	if !sameDocument || !sameNumber {
		return
	}
	number := v.Number
	*v = *description
	v.Number = number
}

// findDescription returns what is known here of the version of a document; nil: nothing. Summaries
// have no author and reason, so the description is sent with the document. Its Number is 0 if it
// comes from a proposal.
func (r *Replica) findDescription(hash Hash) *Version {
	known := []Version{r.newest, r.target, r.application.current}
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

// addVersionTo adds the description of a document's version, if known, to its first chunk.
func (r *Replica) addVersionTo(c *Chunk) {
	if c.Offset == 0 {
		c.Version = r.findDescription(c.Hash)
	}
}

// addDescription adds the description of a version that a member sent. It is for operators alone:
// no decision depends on it.
func (r *Replica) addDescription(description *Version) {
	if description == nil || !description.hasBoundedText() {
		return
	}
	for _, v := range [...]*Version{&r.target, &r.newest, &r.application.current} {
		v.addDescription(description)
	}
}
