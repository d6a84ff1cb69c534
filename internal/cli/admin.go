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

// maxResponseBytes limits the size of a response of the admin API.
const maxResponseBytes = 64 << 20

type statusCommand struct{}

// Run prints the state of the entry instance.
func (c *statusCommand) Run(e *Env) error {
	return e.callAdmin(http.MethodGet, "/admin/v1/state", nil)
}

type explainCommand struct {
	Request string `arg:"" help:"File with the JSON body of a request." type:"existingfile"`
	Path    string `help:"Path that the request is sent to." default:"/v1/chat/completions"`
	Account string `help:"Client account that sends it." placeholder:"NAME"`
}

// explainRequest is the body of a request to explain a routing decision.
type explainRequest struct {
	Path    string          `json:"path"`
	Account string          `json:"account,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// Run prints the routing decision of the entry instance for the request, which
// is not sent to a target.
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
	return e.callAdmin(http.MethodPost, "/admin/v1/explain", body)
}

// callAdmin calls the admin API and prints the response.
func (e *Env) callAdmin(method, path string, body []byte) error {
	url := strings.TrimSuffix(e.cmd.Admin, "/") + path
	req, err := http.NewRequestWithContext(e.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call admin API peer=%s", url)
	}
	if e.cmd.Token != "" {
		req.Header.Set("Authorization", "Bearer "+e.cmd.Token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call admin API peer=%s", url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response peer=%s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("call admin API peer=%s: status %d: %s", url, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	// Offsets and token counts must not lose digits as floating-point numbers.
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrapf(err, "decode response peer=%s", url)
	}
	return e.print(adminResponse{value})
}
