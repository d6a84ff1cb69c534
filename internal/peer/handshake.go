package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds a frame of a process that has proved nothing yet.
	maxHandshakeBytes = 4 << 10
)

// ErrUntrusted: the remote side did not prove knowledge of the shared secret.
var ErrUntrusted = errors.New("peer: proof of the shared secret does not match")

// role is covered by the MAC, so that a proof cannot be reflected: without it, an
// attacker could respond to a challenge with the proof that it was just sent.
type role byte

const (
	roleDialer   role = 'd'
	roleListener role = 'l'
)

func (r role) opposite() role {
	if r == roleDialer {
		return roleListener
	}
	return roleDialer
}

// handshake exchanges identities and proves knowledge of the shared secret in
// both directions. It returns the remote side's identity.
func handshake(c net.Conn, r *bufio.Reader, self wire.Identity, secret []byte, as role) (wire.Identity, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return wire.Identity{}, errors.Wrap(err, "handshake: set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return wire.Identity{}, errors.Wrap(err, "handshake: generate nonce")
	}
	if err := writeMessage(c, wire.KindHello, wire.Hello{From: self, Nonce: nonce}); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: send hello peer=%s", c.RemoteAddr())
	}
	var hello wire.Hello
	if err := readMessage(r, wire.KindHello, &hello); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: receive hello peer=%s", c.RemoteAddr())
	}
	own := proofMAC(secret, as, self, nonce, hello.Nonce)
	if err := writeMessage(c, wire.KindProof, wire.Proof{MAC: own}); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: send proof peer=%s", c.RemoteAddr())
	}
	var remote wire.Proof
	if err := readMessage(r, wire.KindProof, &remote); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: receive proof peer=%s", c.RemoteAddr())
	}
	want := proofMAC(secret, as.opposite(), hello.From, hello.Nonce, nonce)
	if !hmac.Equal(remote.MAC, want) {
		return wire.Identity{}, errors.Wrapf(ErrUntrusted, "peer=%s", c.RemoteAddr())
	}
	return hello.From, errors.Wrap(c.SetDeadline(time.Time{}), "handshake: clear deadline")
}

// proofMAC returns the MAC that a side sends: over its role, its identity, its own
// nonce and the remote side's.
func proofMAC(secret []byte, as role, from wire.Identity, ownNonce, remoteNonce []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte{byte(as)})
	for _, part := range []string{from.Instance, from.Incarnation, from.Address, from.Domain} {
		m.Write([]byte(part))
		m.Write([]byte{0})
	}
	m.Write(ownNonce)
	m.Write(remoteNonce)
	return m.Sum(nil)
}

func writeMessage(c net.Conn, kind wire.Kind, body any) error {
	f, err := wire.NewFrame(0, kind, body)
	if err != nil {
		return err
	}
	raw, err := wire.Append(nil, f)
	if err != nil {
		return err
	}
	_, err = c.Write(raw)
	return err
}

func readMessage(r *bufio.Reader, kind wire.Kind, body any) error {
	f, err := wire.ReadAtMost(r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return errors.Wrapf(wire.ErrFrameMalformed, "kind=%s want=%s", f.Kind, kind)
	}
	return f.DecodeBody(body)
}
