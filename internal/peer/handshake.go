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
)

// ErrUntrusted: the other side does not know the shared secret.
var ErrUntrusted = errors.New("peer: proof does not match")

// role separates the two directions of the proof, so that a stranger cannot
// answer a challenge with the proof it was just sent.
type role byte

const (
	roleDialer   role = 'd'
	roleListener role = 'l'
)

func (r role) other() role {
	if r == roleDialer {
		return roleListener
	}
	return roleDialer
}

// handshake exchanges identities and proves knowledge of the shared secret in
// both directions. It returns the other side's identity.
func handshake(c net.Conn, r *bufio.Reader, self wire.Identity, secret []byte, as role) (wire.Identity, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return wire.Identity{}, errors.Wrap(err, "handshake: set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return wire.Identity{}, errors.Wrap(err, "handshake: nonce")
	}
	if err := writeBody(c, wire.KindHello, wire.Hello{From: self, Nonce: nonce}); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: hello peer=%s", c.RemoteAddr())
	}
	var hello wire.Hello
	if err := readBody(r, wire.KindHello, &hello); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: hello peer=%s", c.RemoteAddr())
	}
	own := proof(secret, as, self, nonce, hello.Nonce)
	if err := writeBody(c, wire.KindProof, wire.Proof{MAC: own}); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: proof peer=%s", c.RemoteAddr())
	}
	var theirs wire.Proof
	if err := readBody(r, wire.KindProof, &theirs); err != nil {
		return wire.Identity{}, errors.Wrapf(err, "handshake: proof peer=%s", c.RemoteAddr())
	}
	want := proof(secret, as.other(), hello.From, hello.Nonce, nonce)
	if !hmac.Equal(theirs.MAC, want) {
		return wire.Identity{}, errors.Wrapf(ErrUntrusted, "peer=%s", c.RemoteAddr())
	}
	return hello.From, errors.Wrap(c.SetDeadline(time.Time{}), "handshake: clear deadline")
}

// proof is the MAC that a side sends: over its role, its identity, its own
// nonce and the other side's.
func proof(secret []byte, as role, from wire.Identity, own, other []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte{byte(as)})
	for _, part := range []string{from.Instance, from.Incarnation, from.Address, from.Domain} {
		m.Write([]byte(part))
		m.Write([]byte{0})
	}
	m.Write(own)
	m.Write(other)
	return m.Sum(nil)
}

func writeBody(c net.Conn, kind wire.Kind, body any) error {
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

func readBody(r *bufio.Reader, kind wire.Kind, body any) error {
	f, err := wire.Read(r)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return errors.Wrapf(wire.ErrFrameMalformed, "kind=%s want=%s", f.Kind, kind)
	}
	return f.DecodeBody(body)
}
