// Package lab lists the test rigs below it, by the question that each answers. It has no code. The daemon imports none
// of them; cmd/mintkeel-lab runs them, and CI runs most of them as tests, for a short time each.
//
// Does the decision module keep its rules under all conditions?
//
//	simulation     random fleets in virtual time, which drive the module through its interface alone
//	checker        judges such a history by what engines and clients saw, never by what a controller reports
//	mutants        mutation tests: changes one operator of a source file at a time and runs the tests
//
// Does a refactoring of the module change a decision?
//
//	recorded       hashes of all actions in fixed scenes, recorded before the change
//	reference      a former version of the module, stepped beside the present one
//
// What does a step cost, depending on the number of engines and queries?
//
//	steps          one module with up to a thousand engines and 100,000 queued queries
//
// Does the matching language evaluate expressions correctly?
//
//	exprs          random expressions of the matching language, with an evaluation that shares no code with it
//
// Does the daemon keep its guarantees while processes, disks and networks fail?
//
//	kills          SIGKILL during the writes of a snapshot
//	restart        the benefit of restored statistics, measured on daemons between stand-ins
//	fleet          fault injection in fleets of processes and in virtual time: histories, checkers, a proxy between processes
//	golden         files and bytes that an earlier build wrote, for tests of formats
//
// What does a fleet of a given size cost?
//
//	scale          growth of each cost with the fleet, measured over TCP with controllers that run only the fleet's services;
//	               the source of docs/CAPACITY.md
//
// What emulates the environment of a controller?
//
//	standin        emulated engines, discovery and clients on sockets
//	playground     the same, for trying the daemon by hand
//	relay          a relay without decisions, as a baseline for the daemon's cost
//	loopback       addresses and ports on the loopback interface
//	eventqueue     the event queue of simulations in virtual time
//
// Do the sources follow the layout rules?
//
//	layout         lengths of files and functions, imports between packages, paths named by the glossary
package lab
