package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
)

// InstanceRole is the kind of process that an instance runs.
type InstanceRole string

// InstanceState is the lifecycle state that the platform reports for an instance.
type InstanceState string

// Roles and states of the instance list.
const (
	RoleEntry    InstanceRole  = "entry"
	RoleTarget   InstanceRole  = "target"
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Domain  string        `json:"domain"`
	Role    InstanceRole  `json:"role"`
	State   InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances as it was at AsOf. It lags
// behind the real state.
type InstanceList struct {
	AsOf      time.Time
	Instances []Instance
}

// InstanceLister fetches the platform's instance list.
type InstanceLister interface {
	// Instances returns the most recent list that the platform has.
	Instances(ctx context.Context) (InstanceList, error)
}

// HTTPInstances fetches the instance list over HTTP.
type HTTPInstances struct {
	base   string
	client *http.Client
}

// NewHTTPInstances returns a client of the list service at baseURL. A nil client
// means http.DefaultClient.
func NewHTTPInstances(baseURL string, client *http.Client) *HTTPInstances {
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPInstances{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Instances implements InstanceLister.
func (c *HTTPInstances) Instances(ctx context.Context) (InstanceList, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s", c.base)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s", c.base)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return InstanceList{}, errors.Newf("read instance list peer=%s: status %d", c.base, resp.StatusCode)
	}
	list, err := decodeInstanceList(io.LimitReader(resp.Body, maxResponseBytes), func(index int, err error) {
		logline.InfoSampled("instance_skipped", "peer", c.base, "index", index, "error", err)
	})
	if err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s: decode response", c.base)
	}
	return list, nil
}
