package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/admission"
	"github.com/mastictray/mastictray/internal/ratecount"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// report returns the demand of this instance's callers for the next exchange.
func (k *contention) report() []wire.AccountDemand {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []wire.AccountDemand
	now := k.now()
	for name, s := range k.services {
		for _, d := range s.controller.Report(now) {
			out = append(out, toWireDemand(k.wireServiceName(name), &d))
		}
	}
	return out
}

// wireServiceName returns the name of a service in reports. It is empty for the only service
// of model servers.
func (k *contention) wireServiceName(name string) string {
	if len(k.services) == 1 {
		return ""
	}
	return name
}

func toWireDemand(service string, d *admission.Demand) wire.AccountDemand {
	return wire.AccountDemand{
		Service: service, Account: d.Account, Urgency: d.Urgency,
		TokensPerSecond: int(d.PerSecond.Tokens), MilliSlots: int(d.PerSecond.SlotSeconds * milli),
		WaitingTokens: int(d.Waiting.Tokens), WaitingMilliSlots: int(d.Waiting.SlotSeconds * milli),
	}
}

const milli = 1000

func fromWireDemand(d *wire.AccountDemand) admission.Demand {
	return admission.Demand{
		Class:     admission.Class{Account: d.Account, Urgency: min(max(d.Urgency, 0), admission.MaxUrgency)},
		PerSecond: admission.Work{Tokens: float64(d.TokensPerSecond), SlotSeconds: float64(d.MilliSlots) / milli},
		Waiting:   admission.Work{Tokens: float64(d.WaitingTokens), SlotSeconds: float64(d.WaitingMilliSlots) / milli},
	}
}

func toWireRateDemand(demand []ratecount.Demand) []wire.AccountDemand {
	out := make([]wire.AccountDemand, 0, len(demand))
	for _, d := range demand {
		out = append(out, wire.AccountDemand{ChargedToRate: true, Account: d.Account, Urgency: d.Urgency, TokensPerSecond: int(d.TokensPerSecond)})
	}
	return out
}

func fromWireRateDemand(rows []wire.AccountDemand) []ratecount.Demand {
	var out []ratecount.Demand
	for i := range rows {
		if d := &rows[i]; d.ChargedToRate {
			out = append(out, ratecount.Demand{Account: d.Account, Urgency: d.Urgency, TokensPerSecond: float64(d.TokensPerSecond)})
		}
	}
	return out
}

// applyReport records the demand that a peer has published.
func (k *contention) applyReport(change *replica.Change) {
	if k == nil || change.Identity.Instance == k.self {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, s := range k.services {
		var rows []admission.Demand
		for i := range change.State.Demand {
			if d := &change.State.Demand[i]; !d.ChargedToRate && d.Service == k.wireServiceName(name) {
				rows = append(rows, fromWireDemand(d))
			}
		}
		s.controller.ApplyReport(change.Identity.Instance, change.At, rows)
	}
}

// takeReturns returns the refused calls that were asked to come back since the last call, for
// the peers.
func (k *contention) takeReturns() []wire.ReturningRequest {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []wire.ReturningRequest
	now := k.now()
	for _, s := range k.services {
		for _, r := range s.controller.TakeReturns() {
			out = append(out, wire.ReturningRequest{Fingerprint: r.Fingerprint, AfterMillis: uint64(max(0, r.Due-now).Milliseconds())})
		}
	}
	return out
}

// applyReturns records the calls that a peer has asked to come back by its update.
func (k *contention) applyReturns(now, madeAt time.Duration, returns []wire.ReturningRequest) {
	if k == nil || len(returns) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range returns {
		due := madeAt + time.Duration(min(r.AfterMillis, maxReturnMillis))*time.Millisecond
		for _, s := range k.services {
			s.controller.AddReturn(now, admission.Return{Fingerprint: r.Fingerprint, Due: due})
		}
	}
}

// maxReturnMillis bounds the time to a return that a peer may state.
const maxReturnMillis = 60_000
