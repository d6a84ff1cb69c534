package routing

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode writes a configuration for a peer. It holds hashes of keys only.
func Encode(c *Config) ([]byte, error) {
	raw, err := msgpack.Marshal(c)
	return raw, errors.Wrap(err, "encode routing configuration")
}

// Decode reads what Encode wrote.
func Decode(raw []byte) (*Config, error) {
	var c Config
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrap(err, "decode routing configuration")
	}
	return &c, nil
}
