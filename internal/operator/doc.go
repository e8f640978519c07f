// Package operator reads the operator's file: settings of an installation, in HCL, beside the
// configuration that the platform gives a controller. A controller needs no such file, and what the
// file does not name is off.
//
// Each block is read and checked by the package that uses it; this package knows which blocks there
// are, the rules and their test cases, and the document that a fleet agrees on in place of its
// controllers' files. Files are bounded in size and complexity before they are parsed. The package
// is used at start and reload, and for the command line; it has no effects.
package operator
