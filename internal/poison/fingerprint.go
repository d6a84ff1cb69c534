package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// Fingerprint identifies the content of a request within its client account.
type Fingerprint [16]byte

// ignoredFields do not affect what a target computes: a request resent without
// streaming is the same request.
var ignoredFields = []string{"stream", "stream_options", "user", "metadata"}

// FingerprintOf returns the fingerprint of a request. JSON bodies that differ
// only in field order, white space or the ignored fields have the same
// fingerprint.
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

// canonical re-encodes a JSON object with sorted fields and without the ignored
// ones. Other bodies are returned unchanged.
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

// parseFingerprint checks and converts a fingerprint from a message.
func parseFingerprint(raw []byte) (fp Fingerprint, ok bool) {
	if len(raw) != len(fp) {
		return fp, false
	}
	return Fingerprint(raw), true
}
