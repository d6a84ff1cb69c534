package wire

// Message kinds about poison requests, which crash the targets that run them.
const (
	// KindPoisonNotice distributes crashes, exonerations and quarantines; it is
	// acknowledged by a PoisonAck.
	KindPoisonNotice Kind = "poison.notice"
	// KindPoisonAck acknowledges a notice.
	KindPoisonAck Kind = "poison.ack"
	// KindPoisonPermitRequest requests a permit to run a suspect from its home
	// instance, the one that serialises the runs of suspects of a pool.
	KindPoisonPermitRequest Kind = "poison.ask"
	// KindPoisonPermitResponse answers a PoisonPermitRequest.
	KindPoisonPermitResponse Kind = "poison.grant"
	// KindPoisonPermitRenewal keeps a permit from expiring.
	KindPoisonPermitRenewal Kind = "poison.hold"
	// KindPoisonPermitRelease returns a permit.
	KindPoisonPermitRelease Kind = "poison.done"
)

// PoisonCrash is a lost target incarnation with the fingerprints of the
// requests that an instance had running on it.
type PoisonCrash struct {
	Target       string   `msgpack:"t"`
	Incarnation  string   `msgpack:"i"`
	Fingerprints [][]byte `msgpack:"f"`
	AgeMillis    int64    `msgpack:"a"`
}

// PoisonExoneration states that a fingerprint did not cause a crash.
type PoisonExoneration struct {
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t"`
	Incarnation string `msgpack:"i"`
}

// PoisonQuarantine is a fingerprint that every instance refuses.
type PoisonQuarantine struct {
	Fingerprint []byte `msgpack:"f"`
	AgeMillis   int64  `msgpack:"a"`
}

// PoisonNotice carries what an instance has learned, or all that it knows.
// Applying notices is idempotent and commutative.
type PoisonNotice struct {
	// ID is repeated in the PoisonAck; 0 requests no acknowledgement.
	ID           uint64              `msgpack:"n"`
	Crashes      []PoisonCrash       `msgpack:"c,omitempty"`
	Exonerations []PoisonExoneration `msgpack:"l,omitempty"`
	Quarantines  []PoisonQuarantine  `msgpack:"q,omitempty"`
}

// PoisonAck acknowledges the notice with the same ID.
type PoisonAck struct {
	ID uint64 `msgpack:"n"`
}

// PoisonPermitRequest requests a permit to run a suspect request on one of the
// targets.
type PoisonPermitRequest struct {
	Request     string   `msgpack:"r"`
	Fingerprint []byte   `msgpack:"f"`
	Targets     []string `msgpack:"t"`
}

// PoisonPermitResponse answers a PoisonPermitRequest. Quarantined is a final
// refusal; an empty target means that the fingerprint is no longer a suspect.
type PoisonPermitResponse struct {
	Request     string `msgpack:"r"`
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t,omitempty"`
	Quarantined bool   `msgpack:"q,omitempty"`
}

// PoisonPermitRenewal states that the sender is running a suspect on the target.
type PoisonPermitRenewal struct {
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t"`
}

// PoisonPermitRelease ends a permit. Crash is set if the target was lost: the
// home instance must know that before it grants the next permit.
type PoisonPermitRelease struct {
	Request     string       `msgpack:"r"`
	Fingerprint []byte       `msgpack:"f"`
	Target      string       `msgpack:"t"`
	Crash       *PoisonCrash `msgpack:"c,omitempty"`
}
