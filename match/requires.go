package match

// What can be said of an expression without evaluating it: for indexes, and for proofs about rules.

// Requirement is something that holds of every row on which a condition does: a field has one of some values, or begins
// with a text.
type Requirement struct {
	Field  string
	Equal  []Value // any of these; nil: it begins with Prefix
	Prefix string
}

// Requires are the requirements that a condition's outermost conjunction states. There may be none.
func (e *Expr) Requires() (all []Requirement) {
	var conjunct func(n *node)
	conjunct = func(n *node) {
		if n.op == opAnd {
			conjunct(n.args[0])
			conjunct(n.args[1])
			return
		}
		if n.negated || len(n.args) == 0 {
			return
		}
		left := n.args[0]
		switch {
		case n.op == opIn && left.op == opField:
			all = append(all, Requirement{Field: left.field.Name, Equal: n.set})
		case n.op == opEqual && left.op == opField && n.args[1].op == opLiteral && left.typ != Bool:
			all = append(all, Requirement{Field: left.field.Name, Equal: []Value{n.args[1].literal}})
		case n.op == opEqual && left.op == opLiteral && n.args[1].op == opField && left.typ != Bool:
			all = append(all, Requirement{Field: n.args[1].field.Name, Equal: []Value{left.literal}})
		case n.op == opStarts && left.op == opField && n.args[1].op == opLiteral && n.args[1].literal.Text != "":
			all = append(all, Requirement{Field: left.field.Name, Prefix: n.args[1].literal.Text})
		}
	}
	conjunct(e.tree)
	return all
}

// NeverEmpty tells whether a text can be shown never to be empty, where these fields never are.
func (e *Expr) NeverEmpty(filled ...string) bool { return e.tree.neverEmpty(filled) }

func (n *node) neverEmpty(filled []string) bool {
	switch n.op {
	case opLiteral:
		return n.literal.Text != ""
	case opField:
		for _, name := range filled {
			if name == n.field.Name {
				return true
			}
		}
	case opConcat:
		for _, a := range n.args {
			if a.neverEmpty(filled) {
				return true
			}
		}
	case opLower, opUpper:
		return n.args[0].neverEmpty(filled)
	case opIf:
		return n.args[1].neverEmpty(filled) && n.args[2].neverEmpty(filled)
	}
	return false
}

// Labels are those that the expression reads, in the order in which it names them.
func (e *Expr) Labels() (names []string) {
	e.tree.walk(func(n *node) {
		if n.op == opLabel || n.op == opHasLabel {
			names = append(names, n.name)
		}
	})
	return names
}
