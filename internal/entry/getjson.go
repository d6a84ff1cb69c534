package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxJSONBytes bounds what is read of a target's answer to a question.
const maxJSONBytes = 4 << 20

// getJSON asks a target a question and decodes its answer.
func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "ask peer=%s", url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "ask peer=%s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("ask peer=%s: status %d", url, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxJSONBytes)).Decode(into)
	return errors.Wrapf(err, "read answer peer=%s", url)
}
