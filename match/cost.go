package match

import "slices"

// What things cost, in steps of some nanoseconds. A text is looked at a word at a time where it is compared, a byte at a
// time where it is changed or matched.
const (
	perWord      = 8 // bytes
	lookUp       = 2
	perMatchByte = 2 // for each byte and instruction of a regular expression, a quarter of a step is paid
)

// length is how many bytes a text may have.
func (n *node) length(s *Schema) int {
	switch n.op {
	case opLiteral:
		return len(n.literal.Text)
	case opField:
		return n.field.Most
	case opLabel:
		return s.Label
	case opIf:
		return max(n.args[1].length(s), n.args[2].length(s))
	case opConcat:
		sum := 0
		for _, a := range n.args {
			sum += a.length(s)
		}
		return sum
	case opLower, opUpper, opPart:
		return n.args[0].length(s)
	}
	return 0
}

// own is what a node costs apart from its arguments, and the bytes of scratch that it needs.
func (n *node) own(s *Schema) (steps, buffer int) {
	words := func(i int) int { return n.args[i].length(s)/perWord + 1 }
	switch n.op {
	case opLiteral:
		return 1, 0
	case opField, opHas:
		return lookUp, 0
	case opLabel, opHasLabel:
		return lookUp + s.Labels*(len(n.name)/perWord+2), 0
	case opEqual, opLess:
		if n.args[0].typ == Text {
			return 1 + min(words(0), words(1)), 0
		}
		return 1, 0
	case opIn:
		halves, longest := 1, 0
		for k := len(n.set); k > 0; k /= 2 {
			halves++
		}
		for _, v := range n.set {
			longest = max(longest, len(v.Text))
		}
		if n.args[0].typ != Text {
			return 2 * halves, 0
		}
		return halves * (2 + min(n.args[0].length(s), longest)/perWord), 0
	case opStarts, opEnds:
		return 1 + words(1), 0
	case opContains: // by a search that does not go back far
		return 2 + 2*n.args[0].length(s) + words(1), 0
	case opLike:
		if !slices.Contains(n.pattern.any, true) {
			return 2 + n.args[0].length(s), 0
		}
		return 2 + n.args[0].length(s)*(len(n.pattern.text)+1), 0
	case opMatches:
		return 20 + n.args[0].length(s)*(perMatchByte+n.program), 0
	case opConcat:
		length := n.length(s)
		return 2 + len(n.args) + length/perWord, length
	case opLower, opUpper:
		length := n.length(s)
		return 2 + length, length
	case opPart:
		return 4 + 2*n.args[0].length(s), 0
	case opBucket:
		return 4 + n.args[0].length(s), 0
	case opNumber:
		return 4 + 2*min(mostDigits, n.args[0].length(s)), 0
	case opRest: // a division by hand, a bit at a time
		return 300, 0
	case opDivide:
		return 4, 0
	}
	return 1, 0
}

// cost is the most that one evaluation may take, and the bytes of scratch. Of a choice both sides count for scratch, the
// dearer for steps.
func (n *node) cost(s *Schema) (steps, buffer int) {
	steps, buffer = n.own(s)
	if n.op == opIf {
		c, b := n.args[0].cost(s)
		y, yb := n.args[1].cost(s)
		o, ob := n.args[2].cost(s)
		return steps + c + max(y, o), buffer + b + yb + ob
	}
	for _, a := range n.args {
		more, bytes := a.cost(s)
		steps, buffer = steps+more, buffer+bytes
	}
	return steps, buffer
}

// dearest is the node that costs most by itself.
func (n *node) dearest(s *Schema) *node {
	best, most := n, -1
	n.walk(func(o *node) {
		if own, _ := o.own(s); own > most {
			best, most = o, own
		}
	})
	return best
}
