// Package frames implements the wire format of connections between controllers of one fleet:
// length-prefixed CBOR frames, each authenticated with a key from a file and bound to the fleet,
// its generation, the sender's run and the frame's position on the connection. A connection carries
// messages in one direction, from the controller that opened it; only the challenge goes the other
// way.
//
//	listener:  "MKFLEET1", nonce of 32 bytes (the challenge)
//	opener:    a hello, then frames, each:
//	  length   4 bytes, unsigned and big-endian
//	  payload  CBOR
//	  mac      16 bytes, of HMAC-SHA256 over the frame's number on the connection and the payload
//
// The mac of the hello covers the listener's nonce instead of a number, so that a hello can't be
// replayed. The frames after it are authenticated with a key derived from the fleet's key, the
// listener's nonce and the hello with the opener's nonce, so that no frame can be moved, repeated
// or left out on its connection. Nothing is encrypted: an eavesdropper can read names, loads and
// fencing tokens.
//
// Writer and Reader have no goroutines and set no deadlines; that is up to the caller. A reader
// allocates memory only as fast as bytes arrive, whatever length a frame claims, and rejects a
// payload over MaxPayloadBytes. After an error the position in the stream is lost, so the caller
// has to close the connection.
package frames
