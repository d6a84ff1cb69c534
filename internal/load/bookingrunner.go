package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/responsecheck"
	"github.com/mastictray/mastictray/internal/standin/service"
)

// BookingPlan describes a run of bookings. Each booking is sent twice, through
// different entry instances if there are several.
type BookingPlan struct {
	// Path is the URL path that bookings are posted to.
	Path string
	// Accounts send the bookings in round-robin order.
	Accounts []Account
	// PerSecond is the mean rate of bookings, Count their number.
	PerSecond float64
	Count     int
	// Timeout limits one attempt.
	Timeout time.Duration
}

// RunBookings runs the plan and returns each booking with its attempts. With
// probability one half the second attempt runs concurrently with the first;
// otherwise it starts after the first has ended.
func (r *Runner) RunBookings(ctx context.Context, seed uint64, plan BookingPlan) []Booking {
	rng := rand.New(rand.NewPCG(seed, 2))
	out := make([]Booking, plan.Count)
	var wg sync.WaitGroup
	due := time.Now()
	for i := range out {
		out[i] = newBooking(seed, i, plan.Accounts[i%len(plan.Accounts)])
		crossed := rng.IntN(2) == 0
		due = due.Add(time.Duration(rng.ExpFloat64() / plan.PerSecond * float64(time.Second)))
		if sleepUntil(ctx, due) != nil {
			out = out[:i]
			break
		}
		wg.Go(func() { r.sendTwice(ctx, i, crossed, plan, &out[i]) })
	}
	wg.Wait()
	return out
}

// sendTwice sends one booking twice, to consecutive entries.
func (r *Runner) sendTwice(ctx context.Context, i int, concurrent bool, plan BookingPlan, b *Booking) {
	var first, second Attempt
	var wg sync.WaitGroup
	wg.Go(func() { first = r.attemptBooking(ctx, i, plan, *b) })
	if !concurrent {
		wg.Wait()
	}
	wg.Go(func() { second = r.attemptBooking(ctx, i+1, plan, *b) })
	wg.Wait()
	b.Attempts = []Attempt{first, second}
}

// attemptBooking sends a booking to the i-th entry, modulo their number.
func (r *Runner) attemptBooking(ctx context.Context, i int, plan BookingPlan, b Booking) Attempt {
	ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
	defer cancel()
	r.counters.sent.Add(1)
	a, err := r.sendBooking(ctx, i, plan.Path, b)
	if err != nil {
		a = Attempt{Outcome: OutcomeFailed, Code: err.Error()}
	}
	r.counters.countOutcome(Result{Outcome: a.Outcome})
	return a
}

func (r *Runner) sendBooking(ctx context.Context, i int, path string, b Booking) (Attempt, error) {
	h := requestHeader(b.Account)
	h.Set("Idempotency-Key", b.Key)
	resp, err := r.post(ctx, i, path, b.Body, h)
	if err != nil {
		return Attempt{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		outcome, code := classifyErrorResponse(resp)
		return Attempt{Outcome: outcome, Code: code}, nil
	}
	a := Attempt{Outcome: OutcomeOK}
	if err := responsecheck.DecodeJSON(io.LimitReader(resp.Body, maxResponseBytes), &a.Answer); err != nil {
		return Attempt{}, errors.Wrapf(err, "read answer entry=%s", resp.Request.Host)
	}
	return a, nil
}

// FetchRuns fetches the lists of runs from the services at the given base URLs.
func (r *Runner) FetchRuns(ctx context.Context, services []string) ([]service.Run, error) {
	var all []service.Run
	for _, base := range services {
		runs, err := r.fetchServiceRuns(ctx, base)
		if err != nil {
			return nil, err
		}
		all = append(all, runs.Runs...)
	}
	return all, nil
}

func (r *Runner) fetchServiceRuns(ctx context.Context, base string) (service.Runs, error) {
	var runs service.Runs
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/runs", nil)
	if err != nil {
		return runs, errors.Wrapf(err, "build runs request service=%s", base)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return runs, errors.Wrapf(err, "read runs service=%s", base)
	}
	defer func() { _ = resp.Body.Close() }()
	return runs, errors.Wrapf(responsecheck.DecodeJSON(resp.Body, &runs), "decode runs service=%s", base)
}
