package wire

// Kinds of message about requests that crash their targets.
const (
	// KindPoisonNotice spreads crashes, exonerations and quarantines; the
	// answer is a PoisonAck.
	KindPoisonNotice Kind = "poison.notice"
	// KindPoisonAck says that a notice has been taken in.
	KindPoisonAck Kind = "poison.ack"
	// KindPoisonPermitRequest asks the home instance for a permit to run a suspect.
	KindPoisonPermitRequest Kind = "poison.ask"
	// KindPoisonPermitResponse answers a PoisonAsk.
	KindPoisonPermitResponse Kind = "poison.grant"
	// KindPoisonPermitRenewal keeps a permit alive.
	KindPoisonPermitRenewal Kind = "poison.hold"
	// KindPoisonPermitRelease gives a permit back.
	KindPoisonPermitRelease Kind = "poison.done"
)

// PoisonCrash is one lost target incarnation and the fingerprints of the
// requests that an instance had on it.
type PoisonCrash struct {
	Target       string   `msgpack:"t"`
	Incarnation  string   `msgpack:"i"`
	Fingerprints [][]byte `msgpack:"f"`
	AgeMillis    int64    `msgpack:"a"`
}

// PoisonExoneration says that a fingerprint did not cause a crash.
type PoisonExoneration struct {
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t"`
	Incarnation string `msgpack:"i"`
}

// PoisonQuarantine is a fingerprint that is refused everywhere.
type PoisonQuarantine struct {
	Fingerprint []byte `msgpack:"f"`
	AgeMillis   int64  `msgpack:"a"`
}

// PoisonNotice is what an instance learned, or all it knows. Taking it in
// twice, or in any order with others, changes nothing.
type PoisonNotice struct {
	// ID is repeated in the PoisonAck; 0 asks for none.
	ID           uint64              `msgpack:"n"`
	Crashes      []PoisonCrash       `msgpack:"c,omitempty"`
	Exonerations []PoisonExoneration `msgpack:"l,omitempty"`
	Quarantines  []PoisonQuarantine  `msgpack:"q,omitempty"`
}

// PoisonAck answers the notice with the ID.
type PoisonAck struct {
	ID uint64 `msgpack:"n"`
}

// PoisonPermitRequest asks for a permit to run a suspect request on one of the targets.
type PoisonPermitRequest struct {
	Request     string   `msgpack:"r"`
	Fingerprint []byte   `msgpack:"f"`
	Targets     []string `msgpack:"t"`
}

// PoisonPermitResponse answers a PoisonAsk. Quarantined refuses for good; an empty
// target says that the fingerprint is no suspect any more.
type PoisonPermitResponse struct {
	Request     string `msgpack:"r"`
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t,omitempty"`
	Quarantined bool   `msgpack:"q,omitempty"`
}

// PoisonPermitRenewal says that the sender runs a suspect on the target.
type PoisonPermitRenewal struct {
	Fingerprint []byte `msgpack:"f"`
	Target      string `msgpack:"t"`
}

// PoisonPermitRelease ends a permit. Crash is set when the target was lost: the home
// has to know it before it grants again.
type PoisonPermitRelease struct {
	Request     string       `msgpack:"r"`
	Fingerprint []byte       `msgpack:"f"`
	Target      string       `msgpack:"t"`
	Crash       *PoisonCrash `msgpack:"c,omitempty"`
}
