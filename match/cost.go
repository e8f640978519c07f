package match

import "slices"

// Costs in steps of some nanoseconds. A text is processed word by word where it is compared, and
// byte by byte where it is changed or matched.
const (
	wordBytes      = 8
	lookupSteps    = 2
	literalSteps   = 1
	regexSteps     = 20 // of a regular expression, in addition to those per byte
	regexByteSteps = 2  // of a regular expression per byte, in addition to one per instruction
	callSteps      = 4  // of a function on a text, in addition to those per byte
	divideSteps    = 4
	remainderSteps = 300 // math.Mod divides in software, bit by bit
)

// maxTextBytes returns the maximum length of a node's text, or 0 for a node of another type.
func (n *node) maxTextBytes(s *Schema) int {
	switch n.op {
	case opLiteral:
		return len(n.literal.Text)
	case opField:
		return n.field.MaxBytes
	case opLabel:
		return s.MaxLabelBytes
	case opIf:
		return max(n.args[1].maxTextBytes(s), n.args[2].maxTextBytes(s))
	case opConcat:
		sum := 0
		for _, a := range n.args {
			sum += a.maxTextBytes(s)
		}
		return sum
	case opLower, opUpper, opPart:
		return n.args[0].maxTextBytes(s)
	}
	return 0
}

// ownCost returns the cost of a node without its arguments, and the bytes of scratch that it
// needs.
func (n *node) ownCost(s *Schema) (steps, scratchBytes int) {
	words := func(i int) int { return n.args[i].maxTextBytes(s)/wordBytes + 1 }
	switch n.op {
	case opLiteral:
		return literalSteps, 0
	case opField, opHas:
		return lookupSteps, 0
	case opLabel, opHasLabel:
		return lookupSteps + s.MaxLabels*(len(n.name)/wordBytes+2), 0
	case opEqual, opLess:
		if n.args[0].valueType == Text {
			return 1 + min(words(0), words(1)), 0
		}
		return 1, 0
	case opIn:
		return n.listCost(s), 0
	case opStartsWith, opEndsWith:
		return 1 + words(1), 0
	case opContains: // by a search that never backs up far
		return 2 + 2*n.args[0].maxTextBytes(s) + words(1), 0
	case opLike:
		if !slices.Contains(n.pattern.isStar, true) {
			return 2 + n.args[0].maxTextBytes(s), 0
		}
		return 2 + n.args[0].maxTextBytes(s)*(len(n.pattern.text)+1), 0
	case opMatches:
		return regexSteps + n.args[0].maxTextBytes(s)*(regexByteSteps+n.programLength), 0
	case opConcat:
		length := n.maxTextBytes(s)
		return 2 + len(n.args) + length/wordBytes, length
	case opLower, opUpper:
		length := n.maxTextBytes(s)
		return 2 + length, length
	case opPart:
		return callSteps + 2*n.args[0].maxTextBytes(s), 0
	case opBucket:
		return callSteps + n.args[0].maxTextBytes(s), 0
	case opNumber:
		return callSteps + 2*min(maxDigits, n.args[0].maxTextBytes(s)), 0
	case opRemainder:
		return remainderSteps, 0
	case opDivide:
		return divideSteps, 0
	}
	return 1, 0
}

// listCost returns the cost of a binary search in a list.
func (n *node) listCost(s *Schema) int {
	halves := 1
	for k := len(n.set); k > 0; k /= 2 {
		halves++
	}
	if n.args[0].valueType != Text {
		return 2 * halves
	}
	longest := 0
	for _, v := range n.set {
		longest = max(longest, len(v.Text))
	}
	return halves * (2 + min(n.args[0].maxTextBytes(s), longest)/wordBytes)
}

// cost returns the maximum cost of one evaluation and the bytes of scratch that it may need. For a
// conditional, the more expensive branch counts for the steps, and both branches for the scratch.
func (n *node) cost(s *Schema) (steps, scratchBytes int) {
	steps, scratchBytes = n.ownCost(s)
	if n.op == opIf {
		condition, conditionBytes := n.args[0].cost(s)
		yes, yesBytes := n.args[1].cost(s)
		no, noBytes := n.args[2].cost(s)
		return steps + condition + max(yes, no), scratchBytes + conditionBytes + yesBytes + noBytes
	}
	for _, a := range n.args {
		argSteps, argBytes := a.cost(s)
		steps += argSteps
		scratchBytes += argBytes
	}
	return steps, scratchBytes
}

// costliest returns the node in the subtree of n, n included, with the highest own cost.
func (n *node) costliest(s *Schema) *node {
	costliest := n
	most := -1
	n.walk(func(o *node) {
		if own, _ := o.ownCost(s); own > most {
			costliest = o
			most = own
		}
	})
	return costliest
}
