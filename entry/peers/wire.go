package peers

// Frames of the handshake, in the order in which they are sent. The field numbers
// are part of the protocol.

// challengeFrame is sent by the accepting side.
type challengeFrame struct {
	Version int    `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
}

// helloFrame is sent by the dialling side.
type helloFrame struct {
	Version     int    `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Nonce       []byte `cbor:"4,keyasint"`
	Proof       []byte `cbor:"5,keyasint"`
}

// welcomeFrame is sent by the accepting side.
type welcomeFrame struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Proof       []byte `cbor:"2,keyasint"`
}
