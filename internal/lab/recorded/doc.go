// Package recorded is a characterization test of the decision module (package router): it plays
// fixed scenes through the module's interface and compares hashes of all actions with those in
// testdata/actions.txt. It guards against refactorings that change a decision. A change that is
// meant to alter decisions rewrites the file:
//
//	go test ./internal/lab/recorded -run TestActionsAreAsRecorded -update-recorded
//
// The package contains only tests.
package recorded
