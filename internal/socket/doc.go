// Package socket provides connections that know whether input has arrived.
//
// The runtime ends a read at its deadline without looking at the socket, and wakes goroutines in no
// particular order. After a time in which the process had no turn (it was stopped, or got no
// processor) a deadline may therefore pass, and another goroutine may act, while input that came
// long before still lies unread. Whoever closes a connection, or declares its peer silent, has to
// ask the socket first. A Conn answers that question for its reader and for other goroutines.
package socket
