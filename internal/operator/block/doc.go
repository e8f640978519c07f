// Package block reads one block of the operator's HCL file, field by field, for the package that
// owns the block. It knows HCL and the meaning of no block.
//
// Reading does not stop at the first problem. Each is added to Diagnostics with its place in the
// file, so that an operator sees all of them at once; a field that can't be used has its fallback
// meanwhile. Owners use the package at start and reload only.
package block
