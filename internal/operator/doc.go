// Package operator reads the operator's file: settings of an installation, in HCL, in addition to
// the configuration that the platform gives a controller. The file is optional, and whatever it
// does not configure is off.
//
// Each block is read and checked by the package that uses it. This package defines which blocks
// there are, and reads the rules, their test cases, and the document that a fleet agrees on instead
// of its controllers' files. Files are bounded in size and complexity before they are parsed. The
// package is used at start and reload and by the command line; it has no side effects.
package operator
