// Package frames is the form of what controllers of one fleet send each other on a connection:
// length-framed CBOR, each frame authenticated with a key from a file and bound to the fleet, its
// generation, the sender's run and the frame's place on this connection. A connection carries
// messages one way, from the controller that opened it; only the challenge goes the other way.
//
//	listener:  "MKFLEET1", nonce of 32 bytes (the challenge)
//	opener:    a hello, then frames, each:
//	  length   4 bytes, unsigned and big-endian
//	  payload  CBOR
//	  mac      16 bytes, of HMAC-SHA256 over the frame's number on the connection and the payload
//
// The hello is authenticated with the fleet's key over the listener's nonce, so that it can't be
// replayed. The frames after it are authenticated with a key derived from both nonces, so that none
// can be moved, repeated or left out on its connection. Nothing is encrypted: whoever listens on
// the network reads names, loads and fencing tokens.
//
// Writer and Reader have no goroutines and no deadlines; those are the caller's. A reader allocates
// memory only as fast as bytes arrive, whatever length a frame claims, and no payload is over
// MaxPayloadBytes. After an error the place in the stream is lost: the connection is to be closed.
package frames
