package config

import (
	"github.com/mastictray/mastictray/internal/logrec"
)

// Record kinds of the config stream.
const (
	// KindChange adds, replaces or deletes files.
	KindChange logrec.Kind = "config.change"
	// KindKeyCreate creates a key.
	KindKeyCreate logrec.Kind = "key.create"
	// KindKeyWithdraw withdraws a key permanently.
	KindKeyWithdraw logrec.Kind = "key.withdraw"
	// KindSnapshot is one part of an encoded State.
	KindSnapshot logrec.Kind = "config.snapshot"
)

// RulesVersion is the version of the rules by which records are applied: the
// INI keys, the checks and the record bodies. Every change of these increments
// it. An instance stops at a record of a newer version and keeps its state:
// under its older rules it might accept what newer instances reject, and their
// states would never agree again.
const RulesVersion = 1

// Change is the body of KindChange.
type Change struct {
	// Op is the operation ID. An ID never takes effect twice.
	Op    string       `msgpack:"o"`
	Rules int          `msgpack:"v"`
	Note  string       `msgpack:"n,omitempty"`
	Files []FileChange `msgpack:"f"`
}

// FileChange replaces or deletes one file.
type FileChange struct {
	Name string `msgpack:"n"`
	// Base is the revision of the file that the change was made against;
	// NoRevision for a file that has never existed.
	Base     int64  `msgpack:"b"`
	Delete   bool   `msgpack:"d,omitempty"`
	Contents []byte `msgpack:"c,omitempty"`
}

// KeyCreate is the body of KindKeyCreate. It holds only the hash of the key.
type KeyCreate struct {
	Op      string `msgpack:"o"`
	Rules   int    `msgpack:"v"`
	ID      string `msgpack:"i"`
	Account string `msgpack:"a"`
	SHA256  string `msgpack:"h"`
	Note    string `msgpack:"n,omitempty"`
}

// KeyWithdraw is the body of KindKeyWithdraw.
type KeyWithdraw struct {
	Op     string `msgpack:"o"`
	Rules  int    `msgpack:"v"`
	ID     string `msgpack:"i"`
	SHA256 string `msgpack:"h"`
	Note   string `msgpack:"n,omitempty"`
}

// SnapshotPart is the body of KindSnapshot.
type SnapshotPart struct {
	Rules int `msgpack:"v"`
	// Next is the state's Next: the snapshot covers all records before this
	// offset.
	Next  int64  `msgpack:"t"`
	Part  int    `msgpack:"p"`
	Parts int    `msgpack:"q"`
	Data  []byte `msgpack:"d"`
}
