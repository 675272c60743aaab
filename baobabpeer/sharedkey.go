package baobabpeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
)

const (
	helloMagic    = "baobab01"
	nonceBytes    = 32
	proofBytes    = sha256.Size
	minKeyBytes   = 16
	proofAccepted = 1
)

// A SharedKey proves on both sides of a link that the other side holds the same key, with HMAC-SHA256 over fresh
// nonces of both. It does not encrypt or authenticate the traffic that follows; use Certificates on networks
// where others can read or change packets.
type SharedKey struct {
	key []byte
}

// NewSharedKey returns credentials with the key, which must have at least 16 bytes.
func NewSharedKey(key []byte) (*SharedKey, error) {
	if len(key) < minKeyBytes {
		return nil, newError("shared key", KindRefused, errors.New("key shorter than 16 bytes"))
	}
	return &SharedKey{key: append([]byte(nil), key...)}, nil
}

// proof binds the role of the prover, so that a proof cannot be reflected, and both nonces, so that it cannot be
// replayed.
func (k *SharedKey) proof(role string, dialler, acceptor []byte) []byte {
	m := hmac.New(sha256.New, k.key)
	m.Write([]byte(helloMagic))
	m.Write([]byte(role))
	m.Write(dialler)
	m.Write(acceptor)
	return m.Sum(nil)
}

func (k *SharedKey) dialled(_ context.Context, c net.Conn) (net.Conn, error) {
	hello := make([]byte, len(helloMagic)+nonceBytes)
	copy(hello, helloMagic)
	nonce := hello[len(helloMagic):]
	rand.Read(nonce)
	if _, err := c.Write(hello); err != nil {
		return nil, err
	}
	reply := make([]byte, nonceBytes+proofBytes)
	if _, err := io.ReadFull(c, reply); err != nil {
		return nil, err
	}
	other := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], k.proof("acceptor", nonce, other)) {
		// A proof that cannot be right tells the other side why the link ends.
		_, _ = c.Write(make([]byte, proofBytes))
		return nil, errWrongProof
	}
	if _, err := c.Write(k.proof("dialler", nonce, other)); err != nil {
		return nil, err
	}
	var verdict [1]byte
	if _, err := io.ReadFull(c, verdict[:]); err != nil {
		return nil, err
	}
	if verdict[0] != proofAccepted {
		return nil, errWrongProof
	}
	return c, nil
}

func (k *SharedKey) accepted(_ context.Context, c net.Conn) (net.Conn, error) {
	hello := make([]byte, len(helloMagic)+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return nil, err
	}
	if string(hello[:len(helloMagic)]) != helloMagic {
		return nil, errWrongProof
	}
	other := hello[len(helloMagic):]
	reply := make([]byte, nonceBytes, nonceBytes+proofBytes)
	rand.Read(reply)
	nonce := reply[:nonceBytes]
	if _, err := c.Write(append(reply, k.proof("acceptor", other, nonce)...)); err != nil {
		return nil, err
	}
	proof := make([]byte, proofBytes)
	if _, err := io.ReadFull(c, proof); err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, k.proof("dialler", other, nonce)) {
		return nil, errWrongProof
	}
	if _, err := c.Write([]byte{proofAccepted}); err != nil {
		return nil, err
	}
	return c, nil
}
