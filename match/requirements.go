package match

import "slices"

// Requirement is a necessary condition of an expression, met by every row on which that holds: a
// field has one of some values, or starts with a text.
type Requirement struct {
	Field  string
	Equal  []Value // the field has one of these; nil: it starts with Prefix
	Prefix string
}

// Requires returns the requirements in the outermost conjunction of a condition, without
// evaluating it. There may be none.
func (e *Expr) Requires() []Requirement { return e.tree.requirements(nil) }

// requirements appends the requirements of a condition.
func (n *node) requirements(all []Requirement) []Requirement {
	if n.op == opAnd {
		return n.args[1].requirements(n.args[0].requirements(all))
	}
	if n.negated || len(n.args) == 0 {
		return all
	}
	left := n.args[0]
	switch n.op {
	case opIn:
		if left.op == opField {
			all = append(all, Requirement{Field: left.field.Name, Equal: n.set})
		}
	case opEqual:
		right := n.args[1]
		switch {
		case left.valueType == Bool:
		case left.op == opField && right.op == opLiteral:
			all = append(all, Requirement{Field: left.field.Name, Equal: []Value{right.literal}})
		case left.op == opLiteral && right.op == opField:
			all = append(all, Requirement{Field: right.field.Name, Equal: []Value{left.literal}})
		}
	case opStartsWith:
		right := n.args[1]
		if left.op == opField && right.op == opLiteral && right.literal.Text != "" {
			all = append(all, Requirement{Field: left.field.Name, Prefix: right.literal.Text})
		}
	}
	return all
}

// NeverEmpty reports whether a text is provably never empty, provided that the named fields are
// never empty.
func (e *Expr) NeverEmpty(filled ...string) bool { return e.tree.neverEmpty(filled) }

func (n *node) neverEmpty(filled []string) bool {
	switch n.op {
	case opLiteral:
		return n.literal.Text != ""
	case opField:
		return slices.Contains(filled, n.field.Name)
	case opConcat:
		return slices.ContainsFunc(n.args, func(a *node) bool { return a.neverEmpty(filled) })
	case opLower, opUpper:
		return n.args[0].neverEmpty(filled)
	case opIf:
		return n.args[1].neverEmpty(filled) && n.args[2].neverEmpty(filled)
	}
	return false
}
