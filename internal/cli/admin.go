package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxAdminBytes bounds an answer of the admin API.
const maxAdminBytes = 64 << 20

type statusCommand struct{}

// Run prints the state that the entry instance gives.
func (c *statusCommand) Run(e *Env) error {
	return e.admin(http.MethodGet, "/admin/v1/state", nil)
}

type explainCommand struct {
	Request string `arg:"" help:"File with the JSON body of a request." type:"existingfile"`
	Path    string `help:"Path that the request is sent to." default:"/v1/chat/completions"`
	Account string `help:"Client account that sends it." placeholder:"NAME"`
}

// explainRequest is what the admin API explains.
type explainRequest struct {
	Path    string          `json:"path"`
	Account string          `json:"account,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// Run asks the entry instance for its decision on the request, without
// sending it to a target.
func (c *explainCommand) Run(e *Env) error {
	data, err := os.ReadFile(c.Request)
	if err != nil {
		return errors.Wrap(err, "read request")
	}
	if !json.Valid(data) {
		return errors.Mark(errors.Newf("%s is not JSON", c.Request), errUsage)
	}
	body, err := json.Marshal(explainRequest{Path: c.Path, Account: c.Account, Body: data})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return e.admin(http.MethodPost, "/admin/v1/explain", body)
}

// admin makes one call and prints its answer.
func (e *Env) admin(method, path string, body []byte) error {
	url := strings.TrimSuffix(e.cmd.Admin, "/") + path
	req, err := http.NewRequestWithContext(e.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "ask peer=%s", url)
	}
	if e.cmd.Token != "" {
		req.Header.Set("Authorization", "Bearer "+e.cmd.Token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "ask peer=%s", url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if err != nil {
		return errors.Wrapf(err, "read answer peer=%s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("ask peer=%s: status %d: %s", url, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	// Offsets and token counts must not turn into floating point.
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrapf(err, "decode answer peer=%s", url)
	}
	return e.print(document{value})
}
