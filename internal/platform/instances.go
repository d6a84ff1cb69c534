package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// InstanceRole says what runs on an instance of the platform's list.
type InstanceRole string

// InstanceState is the platform's word on an instance.
type InstanceState string

// Roles and states of the instance list.
const (
	RoleEntry    InstanceRole  = "entry"
	RoleTarget   InstanceRole  = "target"
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one row of the list.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Domain  string        `json:"domain"`
	Role    InstanceRole  `json:"role"`
	State   InstanceState `json:"state"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList struct {
	AsOf      time.Time
	Instances []Instance
}

// InstanceLister reads the platform's instance list.
type InstanceLister interface {
	// Instances returns the list as the platform last saw it.
	Instances(ctx context.Context) (InstanceList, error)
}

// HTTPInstances reads the instance list over HTTP.
type HTTPInstances struct {
	base   string
	client *http.Client
}

// NewHTTPInstances returns a client of the list service at baseURL.
func NewHTTPInstances(baseURL string, client *http.Client) *HTTPInstances {
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPInstances{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Instances implements InstanceLister.
func (h *HTTPInstances) Instances(ctx context.Context) (InstanceList, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/v1/instances", nil)
	if err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s", h.base)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s", h.base)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return InstanceList{}, errors.Newf("read instance list peer=%s: status %d", h.base, resp.StatusCode)
	}
	var ans struct {
		AsOfMS    int64      `json:"as_of_ms"`
		Instances []Instance `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&ans); err != nil {
		return InstanceList{}, errors.Wrapf(err, "read instance list peer=%s: answer", h.base)
	}
	return InstanceList{AsOf: time.UnixMilli(ans.AsOfMS), Instances: ans.Instances}, nil
}
