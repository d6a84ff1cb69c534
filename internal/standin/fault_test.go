package standin

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestFaultIsConsumedCountTimes(t *testing.T) {
	is := is.New(t)
	f := NewFaults("cut")
	is.True(!f.Set(Fault{Kind: "other"}))
	is.True(f.Set(Fault{Kind: "cut", Count: 2}))
	for _, want := range []bool{true, true, false} {
		_, ok := f.Consume("cut")
		is.Equal(ok, want)
	}
	is.True(f.Set(Fault{Kind: "cut"}))
	for range 3 {
		_, ok := f.Consume("cut")
		is.True(ok)
	}
	is.True(f.Set(Fault{Kind: KindNone}))
	_, ok := f.Consume("cut")
	is.True(!ok)
}

func TestWaitWhileReturnsWhenFaultIsCleared(t *testing.T) {
	is := is.New(t)
	f := NewFaults("freeze")
	is.True(f.Set(Fault{Kind: "freeze"}))
	done := make(chan error)
	go func() { done <- f.WaitWhile(context.Background(), "freeze") }()
	is.True(f.Set(Fault{Kind: KindNone}))
	is.NoErr(<-done)
}
