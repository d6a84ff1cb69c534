package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
)

// One target serves the new version, and requests count on it already. It
// crashes, or leaves. Requests count on the old version again at once, which
// the others serve; else they would wait for nobody until their deadline, and
// their callers would get no answer.
func TestActiveVersionFollowsLostTargets(t *testing.T) {
	lose := map[string]func(*enginePool){
		"crashed":     func(p *enginePool) { p.markUnreachable("new") },
		"gone":        func(p *enginePool) { p.markProcessEnded("new", "i") },
		"unanswering": func(p *enginePool) { p.markUnresponsive("new") },
		"leaving":     func(p *enginePool) { p.setDraining(func(name string) bool { return name == "new" }) },
	}
	for name, lost := range lose {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newEnginePool(newClock(), "d")
			targets := []config.Target{{Name: "new", Address: "127.0.0.1:1"}, {Name: "old1", Address: "127.0.0.1:2"}, {Name: "old2", Address: "127.0.0.1:3"}}
			p.configure(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1}, config.Model{Name: "m", Version: "2", PieceBytes: 1, BytesPerToken: 1}, targets, 1)
			for _, target := range targets {
				version := "1"
				if target.Name == "new" {
					version = "2"
				}
				p.applyLoadReport(target.Name, time.Second, time.Second, loadReport{Incarnation: "i", Version: version})
			}
			is.Equal(p.activeVersion(), "2")
			lost(p)
			is.Equal(p.activeVersion(), "1")
		})
	}
}
