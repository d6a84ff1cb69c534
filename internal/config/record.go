package config

import (
	"github.com/mastictray/mastictray/internal/logrec"
)

// Kinds of record in the config stream.
const (
	// KindChange changes files.
	KindChange logrec.Kind = "config.change"
	// KindKeyCreate adds one key.
	KindKeyCreate logrec.Kind = "key.create"
	// KindKeyWithdraw ends one key for good.
	KindKeyWithdraw logrec.Kind = "key.withdraw"
	// KindSnapshot is one part of a whole state.
	KindSnapshot logrec.Kind = "config.snapshot"
)

// RulesVersion counts the changes of the rules by which records are folded:
// the INI keys, the checks and the record bodies. An instance that meets a
// record of newer rules stops there and keeps what it has. Folding on would
// let it accept what newer instances reject, and the two would never agree
// again.
const RulesVersion = 1

// Change is the body of KindChange.
type Change struct {
	// Op is the operation id; the same id never takes effect twice.
	Op    string       `msgpack:"o"`
	Rules int          `msgpack:"v"`
	Note  string       `msgpack:"n,omitempty"`
	Files []FileChange `msgpack:"f"`
}

// FileChange is the new contents of one file, or its deletion.
type FileChange struct {
	Name string `msgpack:"n"`
	// Base is the file's revision that the operator has seen: NoRevision
	// for a file that never was.
	Base     int64  `msgpack:"b"`
	Delete   bool   `msgpack:"d,omitempty"`
	Contents []byte `msgpack:"c,omitempty"`
}

// KeyCreate is the body of KindKeyCreate. It has the key's hash only.
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
	// Next is the state's Next: the snapshot stands for all records
	// before this offset.
	Next  int64  `msgpack:"t"`
	Part  int    `msgpack:"p"`
	Parts int    `msgpack:"q"`
	Data  []byte `msgpack:"d"`
}
