// Package maintenance decides in which order engines are taken out of service for maintenance work,
// and when each may go, so that enough capacity remains whatever fails in that time.
//
// The package has no I/O, no clock, no goroutine and no state. [Decide] is given a [View] (the
// plans, the tasks under way, the engines of the endpoint list, what is lost) and returns at most
// one [Move], with the reasons for each choice and each wait. The caller is the holder of the lease
// "maintenance" (internal/fleet/maintenance). It has the tasks after the move ([Apply]) agreed on
// by the quorum, and carries out a step only when that is agreed: the next holder continues from
// the agreed tasks. A move that no longer fits the tasks changes nothing, so a former holder does
// no harm.
//
// An engine passes through the [Step]s in their order. Decide makes those that depend on the whole
// fleet; the caller makes those that depend on confirmations and on programs of the installation
// (Draining to Returning).
//
// Times are in ms since 1970, durations in ms. [Check] returns what is wrong with a plan before it
// is accepted, [Forecast] when one will be done.
package maintenance
