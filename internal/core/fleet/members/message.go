package members

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping requests an Ack.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to ping Target, and to send back its Ack, or a Nack if there is
	// none in time.
	PingRequest
	// Ack answers a Ping, or a PingRequest if Target is set.
	Ack
	// Nack answers a PingRequest if Target has not answered in time. It shows the requester that its
	// own messages arrive.
	Nack
	// Sync starts a comparison of the sender's view with the receiver's by Checksums, or carries the
	// members of the buckets that differ, in parts.
	Sync
)

// Message is a message of the protocol. It is encoded by the keys of its fields.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Seq matches an Ack or Nack to its Ping or PingRequest.
	Seq uint32 `cbor:"2,keyasint,omitempty"`
	// Target is the member that a PingRequest, or its answer, is about.
	Target ID `cbor:"3,keyasint,omitempty"`
	// WantReply requests, in a Sync, what the receiver knows and the sender does not.
	WantReply bool `cbor:"4,keyasint,omitempty"`
	// Updates are gossip; in a Sync with Buckets they are the members of these.
	Updates []Member `cbor:"5,keyasint,omitempty"`
	// Checksums are those of the sender's view: the receiver answers with the buckets that differ.
	Checksums Checksums `cbor:"6,keyasint,omitempty"`
	// Buckets is a bit set of the buckets whose members Updates holds, as far as the sender knows
	// them.
	Buckets uint64 `cbor:"7,keyasint,omitempty"`
}

// Envelope is a message to send to a member at an address.
type Envelope struct {
	To      ID
	Addr    string
	Message Message
}
