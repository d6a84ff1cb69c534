package wholepath

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// republish changes the configuration file and publishes it.
func (f *fleet) republish(old, with string) {
	f.t.Helper()
	file := filepath.Join(f.dir, "config", "all.ini")
	raw, err := os.ReadFile(file)
	f.must(err)
	if !strings.Contains(string(raw), old) {
		f.t.Fatalf("the configuration has no %q", old)
	}
	f.must(os.WriteFile(file, []byte(strings.Replace(string(raw), old, with, 1)), 0o600))
	f.publish()
}

// versions counts the versions that the engines serve.
func (f *fleet) versions(engines int) map[string]int {
	count := map[string]int{}
	for i := range engines {
		var s struct {
			Version string `json:"version"`
		}
		f.get(f.engines[i], "/state", &s)
		count[s.Version]++
	}
	return count
}

// An operator wants new weights while callers stream, and the instance that
// runs the rollout is killed in the middle. The next holder goes on from the
// records; every engine comes to the version, and no caller sees an error.
func TestRolloutSurvivesKilledHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 4, engineFlags: []string{"--load-ms", "300"}})
	f.republish("version = 1", "version = 2")
	f.wait("one engine has loaded", func() bool { return f.versions(4)["2"] > 0 })
	for _, e := range f.entries {
		if strings.Contains(f.leases(e), `"duty/rollout"`) {
			f.procs[e].kill()
			f.procs[e].begin()
			f.wait(e+" is ready", func() bool { return f.ready(e) })
		}
	}
	f.stream(6, 5, func() {})
	f.wait("all engines serve version 2", func() bool { return f.versions(4)["2"] == 4 })
	f.stream(6, 5, func() {})
	is.True(strings.Contains(f.tool("audit"), "engine0"))
}

// leases lists the leases that an instance holds, as JSON.
func (f *fleet) leases(entry string) string {
	var s struct {
		Leases []struct {
			Resource string `json:"resource"`
			Mine     bool   `json:"mine"`
		} `json:"leases"`
	}
	f.get(entry+".admin", "/admin/v1/state", &s)
	var mine []string
	for _, l := range s.Leases {
		if l.Mine {
			mine = append(mine, `"`+l.Resource+`"`)
		}
	}
	return strings.Join(mine, " ")
}
