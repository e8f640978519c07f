// Package match implements a small expression language for conditions and values over a query or
// any other row of fields. Expressions are typed, bounded in cost, and compiled once. The package
// does no I/O and imports nothing else of the project, so that other programs can use it.
//
//	source := `profile == "load" && schema startswith "menu_"`
//	e, err := match.Compile(source, match.Bool, schema, match.DefaultBounds())
//	matched := e.Bool(row, scratch)
//
// An expression has one of four types: truth value, number, duration or text. Lists of literals
// are allowed only on the right of "in". The language has no loops, variables or state.
//
// # Contract
//
// Errors in an expression are reported when it is compiled, as an *Error with a position.
// Evaluating a compiled expression never fails, whatever the row: an absent field is false, 0 or
// empty text, a division by zero is zero, and values beyond the schema's bounds are truncated. An
// evaluation takes at most Bounds.Steps steps, and allocates nothing once its Scratch has grown to
// the size that the expression needs. Several goroutines may evaluate an expression concurrently,
// each with its own Scratch.
//
// # How it works
//
// A lexer splits the source into tokens (lexer.go). A recursive descent parser builds a tree of
// them (parser.go, literals.go, functions.go) and checks its types (types.go). The maximum cost of
// the tree is computed and checked (cost.go), and the tree is compiled into closures (compile.go),
// which use the functions of eval.go.
package match
