package engine

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
)

// Operations of orders.
const (
	OrderLoad    = "load"
	OrderAdapter = "adapter"
	OrderRole    = "role"
)

// Order is the body of POST /orders.
type Order struct {
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	// Fence is the fencing token of the lease under which the order was issued.
	Fence   int64  `json:"fence"`
	OrderID string `json:"order_id"`
}

// State is the response to GET /state.
type State struct {
	Incarnation string   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// Loading is the version that is being loaded; empty if none.
	Loading string `json:"loading"`
	Fence   int64  `json:"fence"`
}

// orderStatus is the outcome of an order.
type orderStatus int

const (
	orderAccepted orderStatus = iota
	orderAlreadyApplied
	orderStaleFence
	orderInvalid
)

// modelState is the model that the engine serves and the weights that it loads.
// fence is the highest fencing token seen.
type modelState struct {
	name           string
	version        string
	adapters       []string
	role           string
	loadingVersion string
	fence          int64
}

// State returns the model that the engine serves and the load in progress.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model
	return State{
		Incarnation: e.incarnation,
		Model:       m.name,
		Version:     m.version,
		Adapters:    append([]string{}, m.adapters...),
		Role:        m.role,
		Loading:     m.loadingVersion,
		Fence:       m.fence,
	}
}

// servedVersion returns the version that the engine serves, and whether that is the
// required one. Any version is if requiredVersion is empty.
func (e *Engine) servedVersion(requiredVersion string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.version, requiredVersion == "" || requiredVersion == e.model.version
}

// applyOrder executes an order or starts its execution. It returns the outcome and
// the highest fencing token seen.
func (e *Engine) applyOrder(o Order) (orderStatus, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.model
	if e.cfg.ChecksFencing && o.Fence < m.fence {
		return orderStaleFence, m.fence
	}
	m.fence = max(m.fence, o.Fence)
	switch o.Op {
	case OrderLoad:
		return e.startLoadLocked(o), m.fence
	case OrderAdapter:
		if slices.Contains(m.adapters, o.Adapter) {
			return orderAlreadyApplied, m.fence
		}
		m.adapters = append(m.adapters, o.Adapter)
	case OrderRole:
		if m.role == o.Role {
			return orderAlreadyApplied, m.fence
		}
		m.role = o.Role
	default:
		return orderInvalid, m.fence
	}
	return orderAccepted, m.fence
}

// startLoadLocked starts loading the weights that the order names. It requires e.mu.
func (e *Engine) startLoadLocked(o Order) orderStatus {
	m := &e.model
	switch {
	case o.Model != m.name:
		return orderInvalid
	case m.loadingVersion == o.Version:
		return orderAccepted
	case m.loadingVersion == "" && m.version == o.Version:
		return orderAlreadyApplied
	}
	m.loadingVersion = o.Version
	go e.loadWeights(o.Version)
	return orderAccepted
}

// loadWeights loads a version and then serves it, unless a later order has requested
// another version. The engine serves the old version during the load.
func (e *Engine) loadWeights(version string) {
	err := e.fetchWeights(version)
	if err == nil {
		err = e.sleep(e.ctx, e.cfg.WeightsLoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.loadingVersion != version {
		return
	}
	e.model.loadingVersion = ""
	if err != nil {
		logline.Error(err, "weights_load_failed", "version", version)
		return
	}
	e.model.version = version
	e.cache.clear()
	e.feed.add(time.Now(), OpCleared, nil)
}

// fetchWeights downloads the weights from the store, if one is configured.
func (e *Engine) fetchWeights(version string) error {
	if e.cfg.WeightsURL == "" {
		return nil
	}
	url := fmt.Sprintf("%s/v1/weights/%s/%s", e.cfg.WeightsURL, e.cfg.Model, version)
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "fetch weights version=%s", version)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "fetch weights version=%s", version)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("fetch weights version=%s: status %d", version, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Wrapf(err, "fetch weights version=%s", version)
}
