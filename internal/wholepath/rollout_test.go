package wholepath

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// replaceAndPublish replaces text in the configuration file and publishes it.
func (f *fleet) replaceAndPublish(old, replacement string) {
	f.t.Helper()
	file := filepath.Join(f.dir, "config", "all.ini")
	raw, err := os.ReadFile(file)
	f.must(err)
	if !strings.Contains(string(raw), old) {
		f.t.Fatalf("configuration does not contain %q", old)
	}
	f.must(os.WriteFile(file, []byte(strings.Replace(string(raw), old, replacement, 1)), 0o600))
	f.publish()
}

// engineVersions returns the number of engines that serve each version.
func (f *fleet) engineVersions(engines int) map[string]int {
	count := map[string]int{}
	for i := range engines {
		var s struct {
			Version string `json:"version"`
		}
		f.getJSON(f.engines[i], "/state", &s)
		count[s.Version]++
	}
	return count
}

// An operator publishes new weights, and the instance that runs the rollout is killed
// in the middle. The next holder of the rollout lease continues from the log records.
// All engines reach the new version, and no caller sees an error.
func TestRolloutSurvivesKilledHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 4, engineFlags: []string{"--load-ms", "300"}})
	f.replaceAndPublish("version = 1", "version = 2")
	f.waitFor("one engine serves version 2", func() bool { return f.engineVersions(4)["2"] > 0 })
	for _, e := range f.entries {
		if strings.Contains(f.heldLeases(e), `"duty/rollout"`) {
			f.procs[e].kill()
			f.procs[e].start()
			f.waitFor(e+" is ready", func() bool { return f.isReady(e) })
		}
	}
	f.checkStreams(6, 5, func() {})
	f.waitFor("all engines serve version 2", func() bool { return f.engineVersions(4)["2"] == 4 })
	f.checkStreams(6, 5, func() {})
	is.True(strings.Contains(f.runTool("audit"), "engine0"))
}

// heldLeases returns the leases that an instance holds as quoted names separated by
// spaces.
func (f *fleet) heldLeases(entry string) string {
	var s struct {
		Leases []struct {
			Resource string `json:"resource"`
			Mine     bool   `json:"mine"`
		} `json:"leases"`
	}
	f.getJSON(entry+".admin", "/admin/v1/state", &s)
	var mine []string
	for _, l := range s.Leases {
		if l.Mine {
			mine = append(mine, `"`+l.Resource+`"`)
		}
	}
	return strings.Join(mine, " ")
}
