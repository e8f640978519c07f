package discovery

import (
	"time"

	"mintkeel/router"
)

// Endpoint is an entry of the endpoint list: an engine and the address at which it listens.
type Endpoint struct {
	router.Endpoint
	Address string // host:port
}

// Update is a change of the endpoint list, the complete list, or the start or end of its expiry.
// While the list is expired, any update with ExpiredFor 0 ends the expiry, with or without
// endpoints.
type Update struct {
	Number   uint64 // 0 if ExpiredFor is set
	Complete bool   // engines that are not named are gone

	// ExpiredFor is above 0 if the list has expired: for that long, an engine may have been draining
	// unnoticed. 0 means that the list is current.
	ExpiredFor time.Duration

	Endpoints []Endpoint // those that have changed or, if Complete, all
}
