// Package loopback reserves addresses on the loopback network for servers that tests and rigs start later, or restart
// on their former address.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Reserved ports are below the ephemeral range of the system (32768 and up on Linux), so that neither the local end of a
// connection nor a listener on port 0 takes one between its reservation and its use.
const (
	firstPort = 10000
	portCount = 22000
	portTries = 100
)

var errNoPort = errors.New("loopback: no free port found")

var reserved atomic.Uint32 // reservations so far

// Reserve returns an address, as host:port, on which nothing listens. The host is unique to this process, and a port is
// reused only after 22,000 others. Reserve is safe for concurrent use.
func Reserve() (string, error) {
	for range portTries {
		port := firstPort + (reserved.Add(1)-1)%portCount
		address := fmt.Sprintf("%s:%d", host(os.Getpid()), port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errNoPort
}

// host returns the loopback address of a process. Process ids have at most 22 bits, and each id maps to an address of
// its own.
func host(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f)
}
