// Package match is a small language for conditions and values about a query or any other row of
// fields: typed, bounded in cost, compiled once. It is free of I/O and of everything else of the
// project, so that others can use it.
//
//	source := `profile == "load" && schema startswith "menu_"`
//	e, err := match.Compile(source, match.Bool, schema, match.DefaultBounds())
//	matched := e.Bool(row, scratch)
//
// An expression has one of four types: a truth value, a number, a duration or text; lists of
// literals stand on the right of "in" alone. The language has no loops, no variables and no state.
//
// # Contract
//
// What is wrong with an expression is reported when it is compiled, as an *Error with its place. A
// compiled expression never fails, whatever the row: an absent field is false, 0 or empty text, a
// division by zero is zero, and what is past the schema's bounds is cut. An evaluation takes at
// most Bounds.Steps, and allocates nothing once its Scratch has grown to what the expression needs.
// Several goroutines may evaluate an expression at once, each with a Scratch of its own.
//
// # How it works
//
// A lexer splits the source into tokens (lexer.go). A recursive descent parses them into a tree
// (parser.go, literals.go, functions.go) and checks the types on the way (types.go). The cost of
// the tree is bounded (cost.go), and it is compiled into closures (compile.go), which use the
// functions of eval.go.
package match
