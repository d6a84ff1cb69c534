package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/standin/service"
)

// BookingPlan is a run of bookings, each sent twice to different entries.
type BookingPlan struct {
	// Path is the route of the bookings.
	Path string
	// Accounts send the bookings, in turn.
	Accounts []Account
	// PerSecond is the rate of bookings, Count how many there are.
	PerSecond float64
	Count     int
	// Timeout is the longest that one attempt may take.
	Timeout time.Duration
}

// RunBookings runs the plan and returns each booking with its attempts. Half of the
// repeats cross the first attempt, the others follow its answer.
func (r *Runner) RunBookings(ctx context.Context, seed uint64, plan BookingPlan) []Booking {
	rng := rand.New(rand.NewPCG(seed, 2))
	out := make([]Booking, plan.Count)
	var wg sync.WaitGroup
	due := time.Now()
	for i := range out {
		out[i] = newBooking(seed, i, plan.Accounts[i%len(plan.Accounts)])
		crossed := rng.IntN(2) == 0
		due = due.Add(time.Duration(rng.ExpFloat64() / plan.PerSecond * float64(time.Second)))
		if waitUntil(ctx, due) != nil {
			out = out[:i]
			break
		}
		wg.Go(func() { r.book(ctx, i, crossed, plan, &out[i]) })
	}
	wg.Wait()
	return out
}

// book sends one booking and its repeat through different entries.
func (r *Runner) book(ctx context.Context, i int, crossed bool, plan BookingPlan, b *Booking) {
	var first, second Attempt
	var wg sync.WaitGroup
	wg.Go(func() { first = r.attempt(ctx, i, plan, *b) })
	if !crossed {
		wg.Wait()
	}
	wg.Go(func() { second = r.attempt(ctx, i+1, plan, *b) })
	wg.Wait()
	b.Attempts = []Attempt{first, second}
}

// attempt sends a booking through the i-th entry.
func (r *Runner) attempt(ctx context.Context, i int, plan BookingPlan, b Booking) Attempt {
	ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
	defer cancel()
	r.stats.sent.Add(1)
	a, err := r.sendBooking(ctx, i, plan.Path, b)
	if err != nil {
		a = Attempt{Outcome: OutcomeFailed, Code: err.Error()}
	}
	r.stats.end(Result{Outcome: a.Outcome})
	return a
}

func (r *Runner) sendBooking(ctx context.Context, i int, path string, b Booking) (Attempt, error) {
	h := header(b.Account)
	h.Set("Idempotency-Key", b.Key)
	resp, err := r.post(ctx, i, path, b.Body, h)
	if err != nil {
		return Attempt{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		outcome, code := refusal(resp)
		return Attempt{Outcome: outcome, Code: code}, nil
	}
	a := Attempt{Outcome: OutcomeOK}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&a.Answer); err != nil {
		return Attempt{}, errors.Wrapf(err, "read answer entry=%s", resp.Request.Host)
	}
	return a, nil
}

// FetchRuns collects the runs that the services list, given as base URLs.
func (r *Runner) FetchRuns(ctx context.Context, services []string) ([]service.Run, error) {
	var all []service.Run
	for _, base := range services {
		runs, err := r.runsOf(ctx, base)
		if err != nil {
			return nil, err
		}
		all = append(all, runs.Runs...)
	}
	return all, nil
}

func (r *Runner) runsOf(ctx context.Context, base string) (service.Runs, error) {
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
	return runs, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&runs), "decode runs service=%s", base)
}
