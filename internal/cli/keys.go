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
	Create   keysCreateCommand   `cmd:"" help:"Make a key and put it into force; prints it once."`
	Withdraw keysWithdrawCommand `cmd:"" help:"End a key for good."`
	Hash     keysHashCommand     `cmd:"" help:"Read a key from standard input and print its hash."`
}

type keysCreateCommand struct {
	operator `embed:""`
	ID       string `arg:"" help:"Public name of the key."`
	Account  string `help:"Client account that the key belongs to." required:"" placeholder:"NAME"`
}

// newKey is printed after the key is in force, and nowhere else.
type newKey struct {
	audit.Entry
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
	Key    string `json:"key"`
}

func (k newKey) text(w io.Writer) {
	entries{k.Entry}.text(w)
	fmt.Fprintf(w, "id     %s\nsha256 %s\nkey    %s\n", k.ID, k.SHA256, k.Key)
	fmt.Fprintln(w, "The key is not kept anywhere. Store it now.")
}

// Run makes the key, appends its hash and prints the key once it is in
// force. After an unknown outcome the key is lost; withdraw it by its hash.
func (c *keysCreateCommand) Run(e *Env) error {
	f, err := e.follow()
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
	entry, err := e.judge(f, config.KindKeyCreate, c.As, op, body)
	if err != nil {
		return errors.Wrapf(err, "create key sha256=%s", hash)
	}
	if entry.Outcome == audit.Rejected {
		return e.verdict(entry)
	}
	if f.State().Intent().Keys[hash].SHA256 != hash {
		return errors.Mark(errors.Newf("operation %s was another key's; give each its own", op), errRejected)
	}
	return e.print(newKey{Entry: entry, ID: c.ID, SHA256: hash, Key: key})
}

type keysWithdrawCommand struct {
	operator `embed:""`
	ID       string `arg:"" help:"Public name of the key."`
	SHA256   string `name:"sha256" help:"Hash of the key, when its name is not known to the configuration." placeholder:"HEX"`
}

// Run appends the withdrawal.
func (c *keysWithdrawCommand) Run(e *Env) error {
	f, err := e.follow()
	if err != nil {
		return err
	}
	hash := c.SHA256
	if hash == "" {
		if hash = findKey(f.State().Intent(), c.ID); hash == "" {
			return errors.Mark(errors.Newf("no key %s in force; name its hash with --sha256", c.ID), errRejected)
		}
	}
	op := c.opID()
	body := config.KeyWithdraw{Op: op, Rules: config.RulesVersion, ID: c.ID, SHA256: hash, Note: c.Note}
	return e.submit(f, config.KindKeyWithdraw, c.As, op, body)
}

// findKey gives the hash of a key in force, or "".
func findKey(intent *config.Intent, id string) string {
	for hash, key := range intent.Keys {
		if key.ID == id && !key.Withdrawn {
			return hash
		}
	}
	return ""
}

type keysHashCommand struct{}

// maxKeyInput bounds what is read as a key.
const maxKeyInput = 4096

// Run hashes a key from standard input: on the command line it would stand
// in the shell's history and in the list of processes.
func (c *keysHashCommand) Run(e *Env) error {
	var key string
	if _, err := fmt.Fscanln(io.LimitReader(e.Stdin, maxKeyInput), &key); err != nil {
		return errors.Wrap(err, "read key from standard input")
	}
	fmt.Fprintln(e.Stdout, keys.Hash(key))
	return nil
}
