// Command mintkeel-lab runs the project's own test rigs: random simulations, mutation tests, kill
// tests and measurements. No controller needs it. The package holds the flags, the wiring of the
// rigs in internal/lab (whose doc.go says which rig answers which question) and the output.
//
// main.go lists the commands. Each has a file of its name: rulesfuzz.go is rules-fuzz,
// scaleshare.go is scale share, fleetmodel.go is fleet model. The command fleet itself runs
// histories, several at a time (histories.go); fleet.go chooses the kind of history:
//
//	fleetvirtual.go          of leases, in virtual time
//	fleetprocesses.go        of leases, with daemons as processes
//	fleetconfig.go           of the configuration, in virtual time
//	fleetconfigprocesses.go  of the configuration, with daemons as processes
//
// labdaemon.go builds the daemon with fault injection for the histories with processes. module.go
// starts the decision module and its reference, and distribution.go formats quantiles.
//
// Pages in docs/ are made from the commands' output, so the tables and totals on standard output
// keep the wording of earlier versions: "command" means a query, "send" an attempt, "owner" the
// holder of a lease, and a history that "broke" is one in which a checker found a fault.
// docs/GLOSSARY.md has the terms.
package main
