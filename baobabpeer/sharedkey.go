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
	helloMagic   = "baobab01"
	nonceBytes   = 32
	proofBytes   = sha256.Size
	minKeyBytes  = 16
	authAccepted = 1
)

// A SharedKey authenticates both sides of a link by a challenge-response handshake: each side proves with HMAC-SHA256
// over fresh nonces of both that it holds the key. It does not encrypt or authenticate the traffic that follows; use
// Certificates on networks where others can read or change packets.
type SharedKey struct {
	key []byte
}

// NewSharedKey returns credentials for the key, which must have at least 16 bytes.
func NewSharedKey(key []byte) (*SharedKey, error) {
	if len(key) < minKeyBytes {
		return nil, newError("shared key", KindRefused, errors.New("key shorter than 16 bytes"))
	}
	return &SharedKey{key: append([]byte(nil), key...)}, nil
}

// proof returns the HMAC that a side sends. It covers the sender's role, so that a proof cannot be reflected, and both
// nonces, so that it cannot be replayed.
func (k *SharedKey) proof(role string, diallerNonce, acceptorNonce []byte) []byte {
	m := hmac.New(sha256.New, k.key)
	m.Write([]byte(helloMagic))
	m.Write([]byte(role))
	m.Write(diallerNonce)
	m.Write(acceptorNonce)
	return m.Sum(nil)
}

func (k *SharedKey) clientHandshake(_ context.Context, c net.Conn) (net.Conn, error) {
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
	peerNonce := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], k.proof("acceptor", nonce, peerNonce)) {
		// The invalid proof tells the peer why the link ends; otherwise it would see only a lost connection.
		_, _ = c.Write(make([]byte, proofBytes))
		return nil, errAuthFailed
	}
	if _, err := c.Write(k.proof("dialler", nonce, peerNonce)); err != nil {
		return nil, err
	}
	var result [1]byte
	if _, err := io.ReadFull(c, result[:]); err != nil {
		return nil, err
	}
	if result[0] != authAccepted {
		return nil, errAuthFailed
	}
	return c, nil
}

func (k *SharedKey) serverHandshake(_ context.Context, c net.Conn) (net.Conn, error) {
	hello := make([]byte, len(helloMagic)+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return nil, err
	}
	if string(hello[:len(helloMagic)]) != helloMagic {
		return nil, errAuthFailed
	}
	peerNonce := hello[len(helloMagic):]
	reply := make([]byte, nonceBytes, nonceBytes+proofBytes)
	rand.Read(reply)
	nonce := reply[:nonceBytes]
	if _, err := c.Write(append(reply, k.proof("acceptor", peerNonce, nonce)...)); err != nil {
		return nil, err
	}
	proof := make([]byte, proofBytes)
	if _, err := io.ReadFull(c, proof); err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, k.proof("dialler", peerNonce, nonce)) {
		return nil, errAuthFailed
	}
	if _, err := c.Write([]byte{authAccepted}); err != nil {
		return nil, err
	}
	return c, nil
}
