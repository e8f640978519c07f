// Command mintkeel is one controller of the gateway: it accepts clients' queries on a socket, asks
// the decision module which engine to run each on, and returns the results. The package contains
// only the command line and the wiring of the daemon.
//
// The command line: main.go runs it and maps errors to exit codes; sources.go reads the files that
// most commands need. Each command has a file of its own: serve.go, check.go, version.go,
// memory.go, rules.go, fleet.go, maintenance.go, and configcommands.go with configchange.go for
// fleet config. What they print is in output.go, memoryprint.go, fleetprint.go, configprint.go,
// and, for programs, configviews.go; configstatus.go decides where a version counts as in force.
//
// The daemon: daemon.go holds its parts and the loop of its main goroutine, start.go opens the
// clients' listener and joins the fleet, reload.go handles SIGHUP, shutdown.go ends the parts in
// order. config.go reads the platform's configuration and snapshots.go restores and writes
// statistics. fleetjobs.go lists what the daemon does for the fleet. fleetversions.go takes
// versions of the fleet's configuration from the fleet's service, applyversion.go puts them in
// force on the main goroutine, and documenterror.go has the error of a document that can't be used.
package main
