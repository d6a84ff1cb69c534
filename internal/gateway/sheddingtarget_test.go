package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that all return after milliseconds because targets that are full have
// refused, although none has asked for a pause.
func TestRefusalWithoutAPauseIsNotReportedAsOne(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	service := p.engineServiceFor("engines")
	for _, r := range service.registrations {
		service.recordRefusal(r.Incarnation(), 0)
	}
	_, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc"})
	is.True(refusal != nil)
	is.Equal(service.pauseLeft(), time.Duration(0))
	first := true
	for _, r := range service.registrations {
		if first {
			service.recordRefusal(r.Incarnation(), time.Minute)
		}
		first = false
	}
	is.Equal(service.pauseLeft(), time.Duration(0)) // the other one is only full
}
