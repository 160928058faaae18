package peers

// Frames of the handshake. Field numbers are part of the protocol.

type challengeFrame struct {
	Version int    `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
}

type helloFrame struct {
	Version     int    `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Nonce       []byte `cbor:"4,keyasint"`
	Proof       []byte `cbor:"5,keyasint"`
}

type welcomeFrame struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Proof       []byte `cbor:"2,keyasint"`
}
