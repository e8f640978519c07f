// Command mintkeel-lab runs the project's own rigs: random simulations, changed operators, kills
// and measurements. No controller needs it. The package holds flags, the wiring of the rigs in
// internal/lab (its doc.go says which rig answers which question) and what is printed.
//
// main.go lists the commands. Each has a file of its name: rulesfuzz.go is rules-fuzz,
// scaleshare.go is scale share, fleetmodel.go is fleet model. The command fleet itself plays
// histories, which histories.go runs side by side; fleet.go chooses the kind of history:
//
//	fleetvirtual.go          of leases, in virtual time
//	fleetprocesses.go        of leases, with daemons as processes
//	fleetconfig.go           of the configuration, in virtual time
//	fleetconfigprocesses.go  of the configuration, with daemons as processes
//
// labdaemon.go builds the daemon with fault injection for the histories with processes. module.go
// starts the decision module and its reference, and distribution.go writes quantiles.
//
// Pages in docs/ are made of what the commands print, so tables and sums on the standard output
// keep the words of earlier versions: a command is a query, a send an attempt, an owner the
// holder of a lease, a history that broke one in which a checker found a fault. docs/GLOSSARY.md
// has the terms.
package main
