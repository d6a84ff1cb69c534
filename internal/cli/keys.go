package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/keys"
)

type keysCommand struct {
	Create   keysCreateCommand   `cmd:"" help:"Create a key and print it; it cannot be shown again."`
	Withdraw keysWithdrawCommand `cmd:"" help:"Withdraw a key permanently."`
	Hash     keysHashCommand     `cmd:"" help:"Read a key from standard input and print its hash."`
}

type keysCreateCommand struct {
	operator `embed:""`
	ID       string `arg:"" help:"Public name of the key."`
	Account  string `help:"Client account that the key belongs to." required:"" placeholder:"NAME"`
}

// createdKey is printed once the key is in force. No other output has the key.
type createdKey struct {
	audit.Entry
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
	Key    string `json:"key"`
}

func (k createdKey) writeText(w io.Writer) {
	auditEntries{k.Entry}.writeText(w)
	fmt.Fprintf(w, "id     %s\nsha256 %s\nkey    %s\n", k.ID, k.SHA256, k.Key)
	fmt.Fprintln(w, "The key is not stored anywhere. Save it now.")
}

// Run creates a key, appends its hash to the log and prints the key once it is
// in force. If the outcome is unknown the key is lost, and the operator can
// withdraw it by its hash.
func (c *keysCreateCommand) Run(e *Env) error {
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	key, hash, err := keys.New(e.Random)
	if err != nil {
		return err
	}
	op := c.opID()
	body := config.KeyCreate{
		Op: op, Rules: config.RulesVersion, ID: c.ID, Account: c.Account, SHA256: hash, Note: c.Note,
	}
	entry, err := e.appendAndWait(f, config.KindKeyCreate, c.As, op, body)
	if err != nil {
		return errors.Wrapf(err, "create key sha256=%s", hash)
	}
	if entry.Outcome == audit.Rejected {
		return e.reportOutcome(entry)
	}
	if f.State().Intent().Keys[hash].SHA256 != hash {
		return errors.Mark(errors.Newf("operation ID %s belongs to another key; use a new ID for each key", op), errRejected)
	}
	return e.print(createdKey{Entry: entry, ID: c.ID, SHA256: hash, Key: key})
}

type keysWithdrawCommand struct {
	operator `embed:""`
	ID       string `arg:"" help:"Public name of the key."`
	SHA256   string `name:"sha256" help:"Hash of the key, if the configuration has no key of this name." placeholder:"HEX"`
}

// Run appends the withdrawal to the log and waits for its outcome.
func (c *keysWithdrawCommand) Run(e *Env) error {
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	hash := c.SHA256
	if hash == "" {
		if hash = findKey(f.State().Intent(), c.ID); hash == "" {
			return errors.Mark(errors.Newf("no key %s in force; give its hash with --sha256", c.ID), errRejected)
		}
	}
	op := c.opID()
	body := config.KeyWithdraw{Op: op, Rules: config.RulesVersion, ID: c.ID, SHA256: hash, Note: c.Note}
	return e.submit(f, config.KindKeyWithdraw, c.As, op, body)
}

// findKey returns the hash of the key in force with this ID, or "".
func findKey(intent *config.Intent, id string) string {
	for hash, key := range intent.Keys {
		if key.ID == id && !key.Withdrawn {
			return hash
		}
	}
	return ""
}

type keysHashCommand struct{}

// maxKeyBytes limits the input that is read for a key.
const maxKeyBytes = 4096

// Run hashes a key from standard input. As an argument the key would appear in
// the shell's history and in the list of processes.
func (c *keysHashCommand) Run(e *Env) error {
	var key string
	if _, err := fmt.Fscanln(io.LimitReader(e.Stdin, maxKeyBytes), &key); err != nil {
		return errors.Wrap(err, "read key from standard input")
	}
	fmt.Fprintln(e.Stdout, keys.Hash(key))
	return nil
}
