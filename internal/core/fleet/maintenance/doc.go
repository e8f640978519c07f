// Package maintenance decides in which order engines are taken out of service for maintenance work,
// and when each one may be, so that enough capacity remains whatever fails meanwhile.
//
// The package has no I/O, no clock, no goroutine and no state. [Decide] takes a [View] (the plans,
// the tasks, the engines of the endpoint list, the lost engines) and returns at most one [Move],
// with the reasons for each choice and each wait. The caller is the holder of the lease
// "maintenance" (internal/fleet/maintenance). It proposes the tasks after the move ([Apply]) to the
// quorum, and carries out a step only when it is agreed on, so that the next holder continues from
// the agreed tasks. A move that no longer fits the tasks changes nothing, so a former holder can't
// interfere.
//
// An engine passes through the [Step]s in their order. Decide takes those that depend on the whole
// fleet; the caller takes those that depend on confirmations and on programs of the installation
// (Draining to Returning).
//
// Times are in ms since 1970, durations in ms. [Check] returns the problems of a plan before it is
// accepted, [Forecast] when one will be done.
package maintenance
