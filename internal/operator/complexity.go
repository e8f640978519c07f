package operator

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/operator/block"
)

// The HCL library has a recursive parser, so that a small file of brackets or operators could need
// more stack than the process has memory for, and crash it. The library's scanner does not recurse,
// so these limits are checked on its tokens before the file is parsed.
const (
	maxDepth     = 32   // nested brackets
	maxOperators = 2000 // outside of strings
	maxDigits    = 64   // of a number: the time to parse one grows with the square of its digits
)

// checkComplexity returns a problem at the first position at which a file exceeds a limit; nil if
// there is none. Scan errors are ignored, as the parser reports them again.
func checkComplexity(path string, text []byte) *block.Problem {
	tokens, _ := hclsyntax.LexConfig(text, path, hcl.InitialPos)
	depth := 0
	operators := 0
	for _, token := range tokens {
		depth += depthChange(token.Type)
		if isOperator(token.Type) {
			operators++
		}
		why := ""
		switch {
		case token.Type == hclsyntax.TokenNumberLit && len(token.Bytes) > maxDigits:
			why = fmt.Sprintf("has a number of over %d digits", maxDigits)
		case operators > maxOperators:
			why = fmt.Sprintf("has over %d operators", maxOperators)
		case depth > maxDepth:
			why = fmt.Sprintf("has over %d nested brackets", maxDepth)
		}
		if why != "" {
			at := token.Range.Start
			return &block.Problem{File: path, Line: at.Line, Column: at.Column, Why: why}
		}
	}
	return nil
}

// depthChange is 1 for a token that opens a bracket, -1 for one that closes it, and 0 for others.
func depthChange(token hclsyntax.TokenType) int {
	switch token {
	case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen,
		hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
		return 1
	case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen,
		hclsyntax.TokenTemplateSeqEnd:
		return -1
	}
	return 0
}

// isOperator reports whether a token is an operator at which the parser recurses.
func isOperator(token hclsyntax.TokenType) bool {
	switch token {
	case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion, hclsyntax.TokenPlus,
		hclsyntax.TokenStar, hclsyntax.TokenSlash, hclsyntax.TokenPercent, hclsyntax.TokenAnd,
		hclsyntax.TokenOr, hclsyntax.TokenDot, hclsyntax.TokenEqualOp, hclsyntax.TokenNotEqual:
		return true
	}
	return false
}
