package peers

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/lovagegap/lovagegap/entry/codec"
)

const (
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16 // bytes
	maxIDBytes       = 128
	// maxHandshakeBytes bounds messages of a peer that is not authenticated yet.
	maxHandshakeBytes = 4 << 10
)

// accept runs the accepting side of the handshake and returns the identity of the
// dialling peer. It sends a challenge, reads the hello and sends a welcome. The proofs
// in hello and welcome cover both nonces, both ids and the path, so they cannot be
// replayed on another link.
func accept(ctx context.Context, socket *websocket.Conn, path Path, self Identity, keys [][]byte) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce := newNonce()
	if err := writeFrame(ctx, socket, challengeFrame{Version: protocolVersion, ID: self.id, Nonce: nonce}); err != nil {
		return Identity{}, err
	}
	var hello helloFrame
	if err := readFrame(ctx, socket, &hello); err != nil {
		return Identity{}, err
	}
	peer, key, err := verifyHello(hello, nonce, path, self, keys)
	if err != nil {
		return Identity{}, err
	}
	welcome := welcomeFrame{
		Incarnation: self.incarnation,
		Proof:       proof(key, path, "accept", hello.Nonce, nonce, self, peer.id),
	}
	return peer, writeFrame(ctx, socket, welcome)
}

// verifyHello checks the proof in hello and returns the peer and the key that it
// used.
func verifyHello(hello helloFrame, nonce []byte, path Path, self Identity, keys [][]byte) (Identity, []byte, error) {
	peer := Identity{id: hello.ID, incarnation: hello.Incarnation}
	if hello.Version != protocolVersion {
		return peer, nil, errors.Wrapf(ErrRejected, "protocol version %d, want %d", hello.Version, protocolVersion)
	}
	if hello.ID == "" || len(hello.ID) > maxIDBytes || hello.ID == self.id || len(hello.Nonce) != nonceSize {
		return peer, nil, errors.Wrapf(ErrRejected, "invalid hello from %.128q: invalid id or nonce length", hello.ID)
	}
	for _, key := range keys {
		if hmac.Equal(hello.Proof, proof(key, path, "dial", nonce, hello.Nonce, peer, self.id)) {
			return peer, key, nil
		}
	}
	return peer, nil, errors.Wrapf(ErrRejected, "proof of %q matches no key", hello.ID)
}

// dial runs the dialling side of the handshake and returns the identity of the
// accepting peer. It proves knowledge of the first key; while keys are being replaced
// the accepting side holds more than one.
func dial(ctx context.Context, socket *websocket.Conn, path Path, self Identity, keys [][]byte) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var challenge challengeFrame
	if err := readFrame(ctx, socket, &challenge); err != nil {
		return Identity{}, err
	}
	if challenge.Version != protocolVersion || len(challenge.Nonce) != nonceSize {
		return Identity{}, errors.Wrapf(ErrRejected, "invalid challenge: protocol version %d or invalid nonce length",
			challenge.Version)
	}
	nonce := newNonce()
	key := keys[0]
	hello := helloFrame{
		Version: protocolVersion, ID: self.id, Incarnation: self.incarnation, Nonce: nonce,
		Proof: proof(key, path, "dial", challenge.Nonce, nonce, self, challenge.ID),
	}
	if err := writeFrame(ctx, socket, hello); err != nil {
		return Identity{}, err
	}
	var welcome welcomeFrame
	if err := readFrame(ctx, socket, &welcome); err != nil {
		return Identity{}, err
	}
	peer := Identity{id: challenge.ID, incarnation: welcome.Incarnation}
	if !hmac.Equal(welcome.Proof, proof(key, path, "accept", nonce, challenge.Nonce, peer, self.id)) {
		return Identity{}, errors.Wrapf(ErrRejected, "proof of %q does not match the key", peer.id)
	}
	return peer, nil
}

// proof returns the HMAC by which prover authenticates to verifier. side is the side
// of the prover, "dial" or "accept". Each part is preceded by its length, so that
// different inputs never give the same bytes.
func proof(
	key []byte, path Path, side string, verifierNonce, proverNonce []byte, prover Identity, verifier string,
) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(path), []byte(side), verifierNonce, proverNonce, []byte(prover.id), []byte(verifier),
	} {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(part)))
		mac.Write(part)
	}
	_ = binary.Write(mac, binary.BigEndian, prover.incarnation)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

func writeFrame(ctx context.Context, socket *websocket.Conn, frame any) error {
	data, err := codec.Encode(frame)
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, data)
}

func readFrame(ctx context.Context, socket *websocket.Conn, frame any) error {
	messageType, data, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	if messageType != websocket.MessageBinary {
		return errors.Wrap(ErrRejected, "text frame in handshake, want binary")
	}
	return errors.Mark(codec.Decode(data, frame), ErrRejected)
}
