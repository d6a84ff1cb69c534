package ratecount

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// urgencyFleet has callers of one account at a fleet with late reports: the urgent ones at
// the first half of the instances, the others at the second half.
type urgencyFleet struct {
	limiters []*Limiter
	urgent   float64 // tokens per second
	normal   float64
	admitted [2]float64
	asked    [2]float64
}

const (
	urgencyFleetSize = 20
	urgencyRate      = 100_000.0
	urgencyRequest   = 500.0
)

func newUrgencyFleet(urgent, normal float64) *urgencyFleet {
	f := &urgencyFleet{urgent: urgent, normal: normal}
	for range urgencyFleetSize {
		l := New()
		l.SetLimits(0, map[string]Limit{"a": {Rate: urgencyRate, Burst: urgencyRate}})
		l.SetFleetSize(0, urgencyFleetSize, PeerTimeout)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func (f *urgencyFleet) run(from, length time.Duration) {
	const step = 10 * time.Millisecond
	due := [2]float64{}
	next := [2]int{}
	for now := from; now < from+length; now += step {
		if now%(200*time.Millisecond) == 0 {
			f.exchange(now)
		}
		for class, perSecond := range []float64{f.urgent, f.normal} {
			for due[class] += perSecond * step.Seconds(); due[class] >= urgencyRequest; due[class] -= urgencyRequest {
				next[class]++
				l := f.limiters[class*urgencyFleetSize/2+next[class]%(urgencyFleetSize/2)]
				f.asked[class] += urgencyRequest
				if _, ok := l.AdmitByUrgency(now, "a", 3*class, urgencyRequest); ok {
					f.admitted[class] += urgencyRequest
				}
			}
		}
	}
}

func (f *urgencyFleet) exchange(now time.Duration) {
	reports := make([]Report, len(f.limiters))
	for i, l := range f.limiters {
		reports[i] = Report{Incarnation: fmt.Sprint(i), At: now, Demand: l.ReportDemand(now), Spent: l.ReportSpent()}
	}
	for i, l := range f.limiters {
		for j := range reports {
			if i != j {
				l.ApplyReports(now, reports[j])
			}
		}
	}
}

func (f *urgencyFleet) ratios() (urgent, normal float64) {
	return f.admitted[0] / f.asked[0], f.admitted[1] / max(1, f.asked[1])
}

// Guards against an account over its rate that loses urgent requests as readily as others,
// whichever instances its callers reach, and against admitting more than the rate by it.
func TestAccountOverItsRateLosesLessUrgentFirst(t *testing.T) {
	for name, c := range map[string]struct {
		urgent, normal       float64
		minUrgent, minNormal float64
	}{
		"urgent fit":               {50_000, 120_000, 0.95, 0.24},
		"much more of the others":  {40_000, 200_000, 0.9, 0.22},
		"urgent alone exceed rate": {200_000, 60_000, 0.35, 0.25 * 0.35},
		"urgent only":              {300_000, 0, 0.25, 0},
		"others only":              {0, 300_000, 0, 0.28},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newUrgencyFleet(c.urgent, c.normal)
			f.run(0, 10*time.Second)
			f.asked, f.admitted = [2]float64{}, [2]float64{}
			const length = 30 * time.Second
			f.run(10*time.Second, length)
			urgent, normal := f.admitted[0]/max(1, f.asked[0]), f.admitted[1]/max(1, f.asked[1])
			t.Logf("urgent %.3f normal %.3f", urgent, normal)
			is.True(urgent >= c.minUrgent)
			is.True(normal >= c.minNormal)
			is.True(f.admitted[0]+f.admitted[1] <= urgencyRate*length.Seconds()+urgencyRate)
			is.True(f.admitted[0]+f.admitted[1] >= 0.9*urgencyRate*length.Seconds())
		})
	}
}

// Guards against refusals by the reserve while the account is within its rate.
func TestAccountWithinItsRateIsNotRefusedByUrgency(t *testing.T) {
	is := is.New(t)
	f := newUrgencyFleet(40_000, 45_000)
	f.run(0, 5*time.Second)
	f.asked, f.admitted = [2]float64{}, [2]float64{}
	f.run(5*time.Second, 20*time.Second)
	urgent, normal := f.ratios()
	is.Equal(urgent, 1.0)
	is.Equal(normal, 1.0)
}

// Guards against reports that grow with the number of accounts.
func TestReportedDemandIsBounded(t *testing.T) {
	is := is.New(t)
	l := New()
	limits := map[string]Limit{}
	for i := range 1000 {
		limits[fmt.Sprint(i)] = Limit{Rate: 10, Burst: 10}
	}
	l.SetLimits(0, limits)
	for i := range 1000 {
		l.AdmitByUrgency(0, fmt.Sprint(i), i%10, 100)
	}
	is.Equal(len(l.ReportDemand(0)), maxDemandRows)
	is.Equal(len(l.ReportDemand(time.Minute)), 0)
}
