// Package recorded is a characterization test of the decision module (package router): it plays
// fixed scenes through the module's interface and compares hashes of every action with those in
// testdata/actions.txt, so that a change of the module's structure is shown to change no decision.
// A change that is meant to alter decisions rewrites the file:
//
//	go test ./internal/lab/recorded -run TestActionsAreAsRecorded -update-recorded
//
// The package has tests only.
package recorded
