package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/responsecheck"
)

// maxJSONBytes bounds how much of a JSON response is read.
const maxJSONBytes = 4 << 20

// getJSON sends a GET request and decodes the JSON response into dst.
func getJSON(ctx context.Context, client *http.Client, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "query peer=%s", url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "query peer=%s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("query peer=%s: status %d", url, resp.StatusCode)
	}
	err = responsecheck.DecodeJSON(io.LimitReader(resp.Body, maxJSONBytes), dst)
	return errors.Wrapf(err, "decode response peer=%s", url)
}
