package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/admission"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/routing"
)

// contention bounds what is admitted to the services of model servers while callers compete
// for too little room; see package admission. It is nil where the deployment doesn't call
// for it. Its lock is taken after all others.
type contention struct {
	now     func() time.Duration
	self    string
	metrics *gatewayMetrics

	mu       sync.Mutex
	services map[string]*serviceAdmission
	// table is the configuration that weights and services belong to.
	table   *routing.Table
	weights admission.Weights
}

// serviceAdmission is the admission to one service.
type serviceAdmission struct {
	controller *admission.Controller
	estimator  *admission.Estimator
	// prefillRate is the mean prefill rate of its targets, in tokens per second.
	prefillRate float64
	// tolerableWait is a part of the shortest latency objective.
	tolerableWait time.Duration
}

func newContention(g *Gateway) *contention {
	if !g.settings.Features.Contention {
		return nil
	}
	return &contention{now: g.clock.Now, self: g.self.Instance, metrics: g.metrics, services: map[string]*serviceAdmission{}}
}

// callAdmission is the admission of one call. It is decided before its first attempt.
type callAdmission struct {
	service  *serviceAdmission
	request  admission.Request
	prompt   admission.Prompt
	decision admission.Decision
	// state is what the decision was based on, and decidedAt when it was made.
	state     admission.State
	decidedAt time.Duration
}

// admitToService decides whether a call may use its service now. Streams that are resumed
// are always admitted: what targets have done for them would be lost.
func (g *Gateway) admitToService(c *call) *Refusal {
	k := g.contention
	if k == nil {
		return nil
	}
	if c.admission == nil {
		c.admission = k.decide(c, g.timeLeft(c))
		k.metrics.admission(c.admission)
	}
	if d := c.admission.decision; !d.Admitted {
		return unavailableRefusal("no_room", d.RetryAfter)
	}
	return nil
}

func (k *contention) decide(c *call, timeLeft time.Duration) *callAdmission {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(c.service.Name)
	a := &callAdmission{service: s, prompt: admissionPrompt(c), decidedAt: k.now()}
	a.request = admission.Request{
		Class: admission.Class{Account: accountName(c), Urgency: contendedUrgency(c)}, Work: s.estimator.Work(a.prompt, contendedUrgency(c), s.prefillRate),
		Fingerprint: c.fingerprint, TimeLeft: timeLeft, Jitter: rand.Float64(),
	}
	a.state = s.controller.State()
	if c.resumed() || c.takesUp() {
		a.decision = admission.Decision{Admitted: true, Share: 1}
		return a
	}
	a.decision = s.controller.Admit(a.decidedAt, &a.request)
	return a
}

// service returns the admission to a service and creates it if needed. The caller holds k.mu.
func (k *contention) service(name string) *serviceAdmission {
	s := k.services[name]
	if s == nil {
		s = &serviceAdmission{controller: admission.New(), estimator: admission.NewEstimator()}
		k.services[name] = s
	}
	return s
}

func admissionPrompt(c *call) admission.Prompt {
	if c.Prompt == nil {
		return admission.Prompt{}
	}
	p := admission.Prompt{Tokens: c.Prompt.Tokens, MaxOutput: c.Prompt.MaxOutputTokens}
	if n := len(c.Prompt.Pieces); n > 0 {
		p.Unshared = c.Prompt.Pieces[n-1].Tokens
	}
	return p
}

// beginWait records that a call waits for a target until the returned function is called.
func (k *contention) beginWait(a *callAdmission) (end func()) {
	if a == nil {
		return func() {}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a.service.controller.BeginWait(&a.request)
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		a.service.controller.EndWait(&a.request)
	}
}

// observeFirstToken records what a call's target had to prefill and how long the call waited
// there. latency is the time to a first token without work.
func (k *contention) observeFirstToken(a *callAdmission, send *engineSend, latency time.Duration) {
	if a == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s, uncached := a.service, send.Decision.UncachedTokens
	s.estimator.ObservePrefill(a.prompt, uncached)
	if s.prefillRate > 0 {
		prefill := time.Duration(uncached / s.prefillRate * float64(time.Second))
		s.estimator.ObserveWait(k.now() - send.SentAt - prefill - latency)
	}
}

// observeEnd records the end of an attempt whose first token arrived at the given time.
func (k *contention) observeEnd(a *callAdmission, result overload.Result, firstTokenAt time.Duration) {
	if a == nil || result != overload.Succeeded || firstTokenAt == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a.service.estimator.ObserveOutput(a.request.Urgency, (k.now() - firstTokenAt).Seconds())
}

// chargeAccount charges a call to its account's rate. If there are too few tokens it returns
// how long until there are enough. The caller holds g.mu.
func (g *Gateway) chargeAccount(c *call) (wait time.Duration, ok bool) {
	now, name := g.clock.Now(), c.account.Name
	if g.contention == nil {
		return g.accountLimiter.Admit(now, name, c.chargedTokens)
	}
	return g.accountLimiter.AdmitByUrgency(now, name, contendedUrgency(c), c.chargedTokens)
}

// updateContention computes the shares from the peers' reports and from the state of the
// targets, which is up to age old. The caller holds g.mu.
func (g *Gateway) updateContention(now time.Duration, fleet admission.Fleet, age time.Duration) {
	k := g.contention
	if k == nil {
		return
	}
	rooms := map[string]targetRoom{}
	for name, s := range g.engineServices {
		rooms[name] = s.room(now)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyTable(g.table.Load(), rooms)
	for name, room := range rooms {
		s := k.service(name)
		room.TolerableWait, room.Age = s.tolerableWait, age
		s.prefillRate = room.prefillRate
		room.Backlog = max(room.Backlog, s.estimator.Wait())
		s.controller.Update(now, room.Room, fleet)
		k.metrics.contention(name, s.controller)
	}
}

// applyTable derives weights and waits from a new configuration and forgets the services
// that it doesn't contain. The caller holds k.mu.
func (k *contention) applyTable(t *routing.Table, services map[string]targetRoom) {
	if t == nil || t == k.table {
		return
	}
	k.table, k.weights = t, accountWeights(t.Config().Accounts)
	for name := range k.services {
		if _, exists := services[name]; !exists {
			delete(k.services, name)
		}
	}
	for name := range services {
		s := k.service(name)
		s.tolerableWait = tolerableWait(t.Config().Routes, name)
		s.controller.SetWeights(k.weights)
	}
}

// tolerableWaitFraction is the part of a latency objective that a request may wait for a
// target before less is admitted. The rest is for the prefill and for older reports.
const tolerableWaitFraction = 0.25

// tolerableWait returns the wait at a service from which less is admitted. It follows from
// the shortest objective: an urgent request goes ahead of others that wait at its target, but
// waits for a slot as they do.
func tolerableWait(routes []routing.Route, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range routes {
		if r := &routes[i]; r.LatencyObjective > 0 && routeIncludes(r, service) && (shortest == 0 || r.LatencyObjective < shortest) {
			shortest = r.LatencyObjective
		}
	}
	return time.Duration(tolerableWaitFraction * float64(shortest))
}

// accountWeights returns the accounts' weights: their rates, and for accounts without one the
// mean rate. They would otherwise get next to nothing beside accounts with rates of many
// tokens.
func accountWeights(accounts []routing.Account) admission.Weights {
	w := admission.Weights{ByAccount: make(map[string]float64, len(accounts)), Default: 1}
	for i := range accounts {
		if a := &accounts[i]; a.Rate > 0 {
			w.ByAccount[a.Name] = a.Rate
			w.Total += a.Rate
		}
	}
	if limited := len(w.ByAccount); limited > 0 {
		w.Default = w.Total / float64(limited)
	}
	w.Total += w.Default * float64(len(accounts)-len(w.ByAccount))
	return w
}

// accountWeight returns the weight of a request's account in the queue; 0 for the default.
func (g *Gateway) accountWeight(c *call) float64 {
	if c.account == nil {
		return 0
	}
	if c.account.Rate > 0 || g.contention == nil {
		return c.account.Rate
	}
	g.contention.mu.Lock()
	defer g.contention.mu.Unlock()
	return g.contention.weights.Default
}

// targetRoom is what the targets of a service can do.
type targetRoom struct {
	admission.Room
	// prefillRate is the mean prefill rate of a target, in tokens per second.
	prefillRate float64
}

func (s *engineService) room(now time.Duration) targetRoom {
	s.mu.Lock()
	defer s.mu.Unlock()
	var room targetRoom
	var backlogs []time.Duration
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		// A learned rate may include waits for slots. One that is too low would refuse requests
		// that there is room for; the wait corrects one that is too high.
		rate := max(t.PrefillTokensPerSecond, s.prefillRate)
		work := admission.Work{Tokens: rate, SlotSeconds: float64(s.registrations[t.Name].Slots)}
		room.Total = room.Total.Add(work)
		if !s.pool.Rejected(i) || s.isOverRateOnly(i) {
			room.Reachable = room.Reachable.Add(work)
			backlogs = append(backlogs, s.pool.Backlog(i, now))
		}
	}
	if n := s.pool.Len(); n > 0 {
		room.prefillRate = room.Total.Tokens / float64(n)
	}
	if len(backlogs) > 0 { // not the mean: a few targets that hang don't make requests wait
		slices.Sort(backlogs)
		room.Backlog = backlogs[len(backlogs)/2]
	}
	return room
}

// isOverRateOnly reports whether a target gets no request merely because its next one is
// due a little later. The caller holds s.mu.
func (s *engineService) isOverRateOnly(i int) bool {
	return s.pool.Target(i).OverRate && len(s.pool.RejectedBy(i)) == 1
}

// contentionFields returns the fields of a refusal's log line that say on what the order of
// requests was based.
func (g *Gateway) contentionFields(c *call) []any {
	if g.contention == nil || c.route == nil {
		return nil
	}
	return append([]any{"urgency", contendedUrgency(c)}, c.admission.logFields()...)
}

// logFields returns what the decision on a refused call was based on, for its log line.
func (a *callAdmission) logFields() []any {
	if a == nil {
		return nil
	}
	s := &a.state
	age := a.decidedAt - s.UpdatedAt
	return []any{
		"share", a.decision.Share, "class_asked", a.decision.Asked, "resource", s.Resource, "asked", s.Asked, "room", s.Room,
		"wait", s.Wait, "demand_age", s.DemandAge + age, "room_age", s.RoomAge + age, "sharing", s.Reporting,
		"returned", a.decision.Returned, "early", a.decision.Early, "promised", a.decision.Promised,
	}
}

// admission counts a decision on a call.
func (m *gatewayMetrics) admission(a *callAdmission) {
	result := "refused"
	switch d := a.decision; {
	case d.Admitted && d.Returned:
		result = "admitted_returned"
	case d.Admitted:
		result = "admitted"
	case d.Early:
		result = "refused_early"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_admission_total{urgency="%d",result=%q}`, a.request.Urgency, result)).Inc()
}

// contention sets the gauges of a service's demand and room.
func (m *gatewayMetrics) contention(service string, c *admission.Controller) {
	s := c.State()
	m.gauge(fmt.Sprintf(`mastictray_admission_asked{service=%q}`, service)).Set(s.Asked)
	m.gauge(fmt.Sprintf(`mastictray_admission_room{service=%q}`, service)).Set(s.Room)
	m.gauge(fmt.Sprintf(`mastictray_admission_wait_seconds{service=%q}`, service)).Set(s.Wait.Seconds())
	m.gauge(fmt.Sprintf(`mastictray_admission_reporting{service=%q}`, service)).Set(float64(s.Reporting))
}
