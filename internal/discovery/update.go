package discovery

import (
	"time"

	"mintkeel/router"
)

// Endpoint is an engine of the endpoint list, and where it listens.
type Endpoint struct {
	router.Endpoint
	Address string // host:port
}

// Update is a change of the endpoint list, the complete list, or the start or end of its expiry. An
// update without endpoints and with ExpiredFor 0 ends an expiry.
type Update struct {
	Number   uint64 // 0 if ExpiredFor is set
	Complete bool   // engines that are not named are gone

	// ExpiredFor is above 0 if the list has expired: an engine may have been draining for so long
	// without notice. 0: the list is current.
	ExpiredFor time.Duration

	Endpoints []Endpoint // those that have changed or, if Complete, all
}
