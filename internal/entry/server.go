package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
)

// server is the HTTP handler for callers' requests.
type server struct {
	clock        clock
	config       *configDriver
	rates        *rateDriver
	claims       *claimDriver
	pools        *pools
	poison       *poisonDriver
	pieces       *crashingPieces
	retryBudget  *overload.SharedRetryBudget
	targetClient *targetClient
	dialer       *connrelay.Dialer
	metrics      *entryMetrics
	memory       *callerlimit.Memory
	maxBody      int64

	// overConnectionLimit reports whether too many connections are open.
	overConnectionLimit func() bool
	// draining is set when a shutdown has been requested, shuttingDown when the process no
	// longer takes requests.
	draining     atomic.Bool
	shuttingDown atomic.Bool
	inFlight     sync.WaitGroup
}

// call is one request of a caller.
type call struct {
	id        string
	w         http.ResponseWriter
	r         *http.Request
	startedAt time.Duration
	deadline  time.Duration
	apiKey    string
	keyID     string
	account   config.Account
	route     config.Route
	body      []byte
	// memory is what the request is charged to the memory of the instance.
	memory callerlimit.Charge
	// attempts is the number of attempts so far.
	attempts int
	// headSent is set once the head of the response was sent to the caller, cutShort if its body ended
	// early and nothing in it tells the caller so.
	headSent, cutShort bool
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	c := &call{id: uuid.Must(uuid.NewV7()).String(), w: w, r: r, startedAt: s.clock.now()}
	w.Header().Set(headerRequestID, c.id)
	if err := s.serve(c); err != nil {
		s.refuse(c, err)
		if c.cutShort {
			panic(http.ErrAbortHandler) // makes net/http close the connection
		}
	}
}

// serve handles one request. If it returns an error, no error response has been
// written yet.
func (s *server) serve(c *call) error {
	if s.shuttingDown.Load() {
		return refusal(http.StatusServiceUnavailable, openai.CodeNotReady, "this instance is shutting down", time.Second)
	}
	if s.overConnectionLimit() {
		c.w.Header().Set("Connection", "close")
		return refusal(http.StatusServiceUnavailable, openai.CodeTooManyConnections, "too many connections", time.Second)
	}
	intent := s.config.intent()
	if intent == nil {
		return refusal(http.StatusServiceUnavailable, openai.CodeNotReady, "no configuration yet", time.Second)
	}
	c.apiKey = bearerToken(c.r)
	if err := s.authorize(c); err != nil {
		return err
	}
	if c.r.URL.Path == modelsPath {
		return s.listModels(c, intent)
	}
	routes := routesForPath(intent, c.r.URL.Path)
	copies := int64(serviceBodyCopies)
	if len(routes) > 0 && intent.Pools[routes[0].Pool].Kind != config.KindService {
		copies = engineBodyCopies
	}
	defer c.memory.Release()
	if err := s.readBody(c, copies); err != nil {
		return err
	}
	return s.dispatchByRoute(c, intent, routes)
}

// authorize checks the call's key against the configuration in force.
func (s *server) authorize(c *call) error {
	s.config.guard.waitUntilFresh(c.r.Context())
	account, keyID, err := s.config.authorize(c.apiKey)
	c.account, c.keyID = account, keyID
	if err == nil {
		return nil
	}
	if errors.Is(err, keys.ErrContactTooOld) {
		return refusal(http.StatusServiceUnavailable, openai.CodeKeyCutOff, "this instance cannot check the key at present", time.Second)
	}
	return refusal(http.StatusUnauthorized, openai.CodeInvalidKey, "the key is not valid", 0)
}

func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

const (
	// serviceBodyCopies is how often the body of a request to a plain service is in memory, and
	// engineBodyCopies that of one to an engine: its parts, the prompt, and the body for the engine.
	serviceBodyCopies = 2
	engineBodyCopies  = 6
	// objectBytes is the memory of a JSON object in a body beside its text.
	objectBytes = 80
)

// readBody reads the body of a request, which needs the given number of copies of it.
func (s *server) readBody(c *call, copies int64) error {
	c.memory = callerlimit.NewCharge(s.memory, callerlimit.FromContext(c.r.Context()))
	if !c.memory.Take() {
		return memoryRefusal()
	}
	body, err := c.memory.ReadBody(c.r, s.maxBody, copies)
	switch {
	case errors.Is(err, callerlimit.ErrBodyTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, openai.CodeTooLarge, "the body is too large", 0)
	case errors.Is(err, callerlimit.ErrMemoryFull):
		return memoryRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(http.StatusRequestTimeout, openai.CodeBodyTooSlow, "the body did not arrive in time", 0)
	case err != nil:
		return refusal(http.StatusBadRequest, openai.CodeBadRequest, "the body could not be read", 0)
	}
	c.body = body
	return nil
}

// memoryRefusal refuses a request for which the instance has no memory. Another instance may have.
func memoryRefusal() error {
	return refusal(http.StatusServiceUnavailable, openai.CodeMemoryFull, "the memory of this instance is used up", time.Second)
}

// Paths of the OpenAI API.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
)

// dispatchByRoute selects the route of a request among those with its path. Several may have the
// same OpenAI path; the model named in the body selects one of them.
func (s *server) dispatchByRoute(c *call, intent *config.Intent, routes []config.Route) error {
	if len(routes) == 0 {
		return refusal(http.StatusNotFound, openai.CodeNotFound, "no route has this path", 0)
	}
	if intent.Pools[routes[0].Pool].Kind == config.KindService {
		return s.serveService(c, routes[0], intent.Pools[routes[0].Pool])
	}
	if c.r.Method != http.MethodPost {
		return refusal(http.StatusMethodNotAllowed, openai.CodeBadRequest, "expected POST", 0)
	}
	if !c.memory.TakeMore(objectBytes * int64(bytes.Count(c.body, []byte{'{'}))) {
		return memoryRefusal()
	}
	req, err := parseRequestBody(c.r.URL.Path, c.body)
	if err != nil {
		return refusal(http.StatusBadRequest, openai.CodeBadRequest, err.Error(), 0)
	}
	route, pool, ok := routeForModel(intent, routes, req.Model)
	if !ok {
		return refusal(http.StatusNotFound, openai.CodeNotFound, "no route serves this model", 0)
	}
	return s.serveEngine(c, route, pool, intent.Models[pool.Model], req)
}

// routeForModel returns the first route whose pool serves the model.
func routeForModel(intent *config.Intent, routes []config.Route, model string) (config.Route, config.Pool, bool) {
	for _, route := range routes {
		if pool := intent.Pools[route.Pool]; pool.Model == model {
			return route, pool, true
		}
	}
	return config.Route{}, config.Pool{}, false
}

func parseRequestBody(path string, body []byte) (openai.Request, error) {
	if path == completionPath {
		return openai.ParseCompletion(body)
	}
	return openai.ParseChat(body)
}

// routesForPath returns the routes with the given path, sorted by name.
func routesForPath(intent *config.Intent, path string) []config.Route {
	var routes []config.Route
	for _, r := range intent.Routes {
		if r.Path == path {
			routes = append(routes, r)
		}
	}
	sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
	return routes
}

func (s *server) listModels(c *call, intent *config.Intent) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	names := make([]string, 0, len(intent.Models))
	for name := range intent.Models {
		names = append(names, name)
	}
	sort.Strings(names)
	data := make([]model, 0, len(names))
	for _, n := range names {
		data = append(data, model{ID: n, Object: "model", OwnedBy: "mastictray"})
	}
	c.w.Header().Set("Content-Type", "application/json")
	s.announceDrain(c.w)
	return json.NewEncoder(c.w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

// refuse writes an error response and logs it.
func (s *server) refuse(c *call, err error) {
	var e *openai.Error
	if !errors.As(err, &e) {
		e = &openai.Error{Status: http.StatusInternalServerError, Code: openai.CodeTargetFailed, Outcome: openai.MayHaveRun, Message: "internal error"}
		logline.Error(err, "request_failed", "request", c.id)
	}
	response := *e
	response.RequestID = c.id
	if !c.headSent {
		s.announceDrain(c.w)
		callerlimit.PrepareRefusal(c.w, c.r)
		response.Write(c.w)
	}
	s.metrics.countRefusal(c.account.Name, response.Code)
	logline.Info("request_refused", "request", c.id, "account", c.account.Name, "key", c.keyID,
		"route", c.route.Name, "code", response.Code, "outcome", response.Outcome, "attempts", c.attempts)
}

// announceDrain is called right before the head of a response is written. While the instance
// drains, the caller's next request is to go to another one.
func (s *server) announceDrain(w http.ResponseWriter) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// refusal returns an error for a request that has not run.
func refusal(status int, code openai.Code, message string, retryAfter time.Duration) *openai.Error {
	return &openai.Error{Status: status, Code: code, Message: message, Outcome: openai.NotRun, RetryAfter: retryAfter}
}
