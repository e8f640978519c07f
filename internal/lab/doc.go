// Package lab is the entry page of the rigs below it, by the question that each answers. It has no code. Nothing of the
// daemon imports a rig; cmd/mintkeel-lab runs them, and CI runs most of them in short as tests.
//
// Does the decision module keep the rules, whatever happens?
//
//	simulation     random fleets in virtual time, with the module driven by its interface alone
//	checker        judges such a history by what engines and clients saw, never by what a controller says
//	mutants        changes one operator of a source file at a time: does a test notice?
//
// Does a change of its structure change a decision?
//
//	recorded       hashes of every action in fixed scenes, recorded before the change
//	reference      the module as it once was, stepped beside the present one
//
// What does a step cost, by the size of what it decides on?
//
//	steps          one module with up to a thousand engines and 100,000 queued queries
//	exprs          random expressions of the matching language beside a plain evaluation
//
// Does the daemon keep its promises while processes, disks and networks fail?
//
//	kills          SIGKILL within the writes of a snapshot
//	restart        what restored statistics are worth, by daemons between stand-ins
//	fleet          fault injection in fleets of processes and in virtual time: histories, checkers, a switch of connections
//	golden         files and bytes that an earlier build wrote, for tests of formats
//
// What does a fleet of a given size cost?
//
//	scale          slopes of each cost, with hollow controllers over TCP; docs/CAPACITY.md is worked out from it
//
// What stands in for the world?
//
//	standin        emulated engines, discovery and clients on sockets
//	playground     the same, to try the daemon with
//	relay          a bare relay, to compare the daemon's cost with
//	loopback       addresses and ports on the loopback interface
//	eventqueue     the queue of events in virtual time
//
// Are the sources laid out as they are said to be?
//
//	layout         lengths of files and functions, imports, paths named by the glossary
package lab
