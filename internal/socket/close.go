package socket

// CloseWrite ends the stream to the peer, which can still send. It does nothing on a connection
// whose two directions can't be closed apart.
func (c *Conn) CloseWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
}
