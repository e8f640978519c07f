//go:build review2

// Command rig-2 plays the cases 6 to 10 of the review. It has stand-ins for the peers of a controller
// on loopback (engines, discovery, clients), starts the controller by the deploy file's command, and
// judges only what the stand-ins see. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main
