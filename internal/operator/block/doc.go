// Package block reads one block of the operator's HCL file, field by field, for the package that
// owns the block. It handles HCL and does not know what any block means.
//
// Reading does not stop at the first problem. Each problem is added to Diagnostics with its
// position in the file, so that an operator sees all of them at once; a field that can't be used
// gets its fallback. The package is used at start and reload only.
package block
