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

// Ops of orders.
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
	// Fence is the fencing token of the lease the order was given under.
	Fence   int64  `json:"fence"`
	OrderID string `json:"order_id"`
}

// State is the answer to GET /state.
type State struct {
	Incarnation string   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// Loading is the version being loaded, or empty.
	Loading string `json:"loading"`
	Fence   int64  `json:"fence"`
}

// verdict is what becomes of an order.
type verdict int

const (
	orderTaken verdict = iota
	orderDone
	orderStale
	orderUnknown
)

// weights is what the engine serves and what it is loading.
type weights struct {
	model    string
	version  string
	adapters []string
	role     string
	loading  string
	fence    int64
}

// State is what the engine serves now.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.weights
	return State{
		Incarnation: e.incarnation,
		Model:       w.model,
		Version:     w.version,
		Adapters:    append([]string{}, w.adapters...),
		Role:        w.role,
		Loading:     w.loading,
		Fence:       w.fence,
	}
}

// serving returns the version in service, and whether it is the wanted one.
func (e *Engine) serving(wanted string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights.version, wanted == "" || wanted == e.weights.version
}

// order takes an order, and returns the fence it was held against.
func (e *Engine) order(o Order) (verdict, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &e.weights
	if e.cfg.ChecksFencing && o.Fence < w.fence {
		return orderStale, w.fence
	}
	w.fence = max(w.fence, o.Fence)
	switch o.Op {
	case OrderLoad:
		return e.orderLoadLocked(o), w.fence
	case OrderAdapter:
		if slices.Contains(w.adapters, o.Adapter) {
			return orderDone, w.fence
		}
		w.adapters = append(w.adapters, o.Adapter)
	case OrderRole:
		if w.role == o.Role {
			return orderDone, w.fence
		}
		w.role = o.Role
	default:
		return orderUnknown, w.fence
	}
	return orderTaken, w.fence
}

func (e *Engine) orderLoadLocked(o Order) verdict {
	w := &e.weights
	switch {
	case o.Model != w.model:
		return orderUnknown
	case w.loading == o.Version:
		return orderTaken
	case w.loading == "" && w.version == o.Version:
		return orderDone
	}
	w.loading = o.Version
	go e.load(o.Version)
	return orderTaken
}

// load reads the weights and then serves them, unless a later order asked for
// another version meanwhile. The old version serves until then.
func (e *Engine) load(version string) {
	err := e.fetch(version)
	if err == nil {
		err = e.sleep(e.ctx, e.cfg.WeightsLoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weights.loading != version {
		return
	}
	e.weights.loading = ""
	if err != nil {
		logline.Error(err, "load failed", "version", version)
		return
	}
	e.weights.version = version
	e.cache.clear()
	e.feed.add(time.Now(), OpCleared, nil)
}

// fetch reads the weights from the store, when there is one.
func (e *Engine) fetch(version string) error {
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
