package fleet

import (
	"path/filepath"

	"mintkeel/internal/lab/mutants"
)

// DroppedCheck is a mutant that leaves a check out of the configuration's core, which histories must catch.
type DroppedCheck struct {
	Name string
	File string // in internal/core/fleet/config
	From string // text that the file contains exactly once
	To   string
}

// DroppedChecks returns a mutant for each check on which the guarantees of the configuration depend.
func DroppedChecks() []DroppedCheck {
	return []DroppedCheck{
		{"the version that the author expects is not compared", "state.go", "p.Expect != s.Newest() || ", ""},
		{"a proposal that comes twice is agreed on twice", "state.go",
			"if v, ok := s.FindProposal(p.Version.ID); ok {\n\t\treturn v, true\n\t}\n\tif p.Expect != s.Newest() || ", "if "},
		{"a leader does not check whether a proposal is agreed on already", "candidate.go",
			"if v, ok := state.FindProposal(p.Version.ID); ok {", "if v, ok := state.FindProposal(p.Version.ID); ok && false {"},
		{"a leader does not check a document", "candidate.go", "\t\tif err != nil {\n\t\t\tr.reply(c.origin", "\t\tif err != nil && false {\n\t\t\tr.reply(c.origin"},
		{"a leader asks for agreement before a majority holds the document", "candidate.go", "2*held > len(voters)", "held >= 0 && len(voters) >= 0"},
		{"a voter confirms a document before it is stored", "hold.go", "!h.replied && r.documents.isStored(h.hash)", "!h.replied"},
		{"a document is not compared with its hash", "fetch.go", "if HashOf(data) == d.hash {", "if HashOf(data) == d.hash || true {"},
		{"an older version is applied", "apply.go", "v.Number > a.current.Number && !slices", "v.Number != a.current.Number && v.Number > 0 && !slices"},
		{"an older version is fetched", "announce.go", "case s.Number < r.target.Number:\n\t\treturn false\n", "case s.Number < r.target.Number:\n"},
		{"a version is applied unchecked", "apply.go", "\t\t\tif err != nil {\n\t\t\t\tr.reject(v", "\t\t\tif err != nil && false {\n\t\t\t\tr.reject(v"},
		{"a version is applied before it is stored", "apply.go", "a.persisted.Number == v.Number && !r.storesCurrent() && ", ""},
		{"a failed store counts as done", "storage.go", "\tif err != nil {\n\t\tr.storeFailed(request, err)", "\tif err != nil && false {\n\t\tr.storeFailed(request, err)"},
		{"documents in use are removed", "retention.go", "hashes := r.documents.unneeded(needed)", "hashes := r.documents.unneeded(map[Hash]bool{})"},
		{"an old report counts after a newer one", "reports.go", "case h.Sequence >= report.Sequence:", "case h.Sequence == report.Sequence:"},
		{"a report of an earlier run counts", "status.go", "report.Run == m.Run && ", ""},
		{"a report never expires", "status.go",
			" && report.heardAt >= r.now-reportFreshTime\n\tif !current || m.State != members.Alive {", "\n\tif !current {"},
		{"any answer ends a proposal", "propose.go", "if reply.Version.ID != proposed.ID || ", "if "},
	}
}

// Mutant returns the changed source file of the module in a folder.
func (d DroppedCheck) Mutant(module string) (mutants.Mutant, error) {
	return mutants.Edit(filepath.Join(module, "internal/core/fleet/config", d.File), d.From, d.To)
}
