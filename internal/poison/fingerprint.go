package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// Fingerprint names what a request asks for, inside its client account.
type Fingerprint [16]byte

// ignoredFields do not change what a target computes: a caller that sends a
// request again without streaming sends the same request.
var ignoredFields = []string{"stream", "stream_options", "user", "metadata"}

// FingerprintOf computes the fingerprint of a request. JSON bodies that differ only
// in field order, white space or the ignored fields give the same one.
func FingerprintOf(account, path string, body []byte) Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, part := range [][]byte{[]byte(account), []byte(path), canonical(body)} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// canonical sorts the fields of a JSON object; other bodies stay as they are.
func canonical(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var fields map[string]any
	if d.Decode(&fields) != nil {
		return body
	}
	for _, f := range ignoredFields {
		delete(fields, f)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// fingerprint reads one from a message.
func fingerprint(raw []byte) (fp Fingerprint, ok bool) {
	if len(raw) != len(fp) {
		return fp, false
	}
	return Fingerprint(raw), true
}
