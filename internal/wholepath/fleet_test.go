package wholepath

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/crowd"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/testbinary"
)

// waitTimeout limits every wait for a condition. It is much longer than any condition
// takes, so that tests don't fail on a busy machine.
const waitTimeout = 30 * time.Second

var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(testbinary.Main(m, func(dir string) { binaryDir = dir }, "../../cmd/mastictray", "../../cmd/mastictray-entry", "../../cmd/mastictray-standin"))
}

// process is one process of the fleet. It can be restarted.
type process struct {
	t       testing.TB
	name    string
	args    []string
	env     []string
	logPath string
	// limits are those of the process; nil for none of its own.
	limits *crowd.Limits
	cmd    *exec.Cmd
}

// fleet is a running deployment: the platform's stand-ins, targets and entry
// instances over three failure domains.
type fleet struct {
	t       testing.TB
	dir     string
	domains []string
	ports   map[string]int
	procs   map[string]*process
	entries []string
	engines []string
	// keys maps accounts to their API keys.
	keys map[string]string
}

// fleetSpec describes the fleet that a test needs.
type fleetSpec struct {
	entries, engines, services int
	// engineFlags are passed to every engine, serviceFlags to every plain service.
	engineFlags, serviceFlags []string
	// bookingRouteConfig is appended to the configuration section of the booking
	// route.
	bookingRouteConfig string
	// accounts maps names to rate and burst in tokens.
	accounts map[string][2]int
	// logFlags are passed to the log service, entryFlags to every entry instance.
	logFlags, entryFlags []string
	// entryEnv is added to the environment of every entry instance, and entryLimits are their limits;
	// nil for none.
	entryEnv    []string
	entryLimits *crowd.Limits
	// alone is set for tests that run apart from all others, which run in parallel.
	alone bool
}

func newFleet(t testing.TB, s fleetSpec) *fleet {
	t.Helper()
	if test, ok := t.(*testing.T); ok && !s.alone {
		test.Parallel()
	}
	f := &fleet{
		t: t, dir: t.TempDir(), domains: []string{"north", "centre", "south"},
		ports: map[string]int{}, procs: map[string]*process{}, keys: map[string]string{},
	}
	if s.accounts == nil {
		s.accounts = map[string][2]int{"office": {10_000_000, 10_000_000}}
	}
	f.must(os.WriteFile(filepath.Join(f.dir, "secret"), []byte("a secret of the whole fleet"), 0o600))
	f.startProcess("log", append([]string{"mastictray-standin", "log", "--listen", f.addressOf("log")}, s.logFlags...)...)
	f.startProcess("instances", "mastictray-standin", "instances", "--listen", f.addressOf("instances"))
	f.startTargets(s)
	f.writeConfig(s)
	f.waitFor("log listens", func() bool { return f.isListening("log") })
	f.publish()
	for i := range s.entries {
		f.startEntry(fmt.Sprintf("entry%d", i), f.domains[i%len(f.domains)], s)
	}
	for _, name := range f.entries {
		f.waitFor(name+" is ready", func() bool { return f.isReady(name) })
	}
	f.waitFor("all rate slots are held", func() bool { return f.totalRateShare(f.entries) > 0.99 })
	return f
}

func (f *fleet) startTargets(s fleetSpec) {
	for i := range s.engines {
		name := fmt.Sprintf("engine%d", i)
		f.engines = append(f.engines, name)
		args := []string{"mastictray-standin", "engine", "--listen", f.addressOf(name), "--model", "m", "--seed", fmt.Sprint(i + 1)}
		f.startProcess(name, append(args, s.engineFlags...)...)
		f.waitFor(name+" listens", func() bool { return f.isListening(name) })
	}
	for i := range s.services {
		name := fmt.Sprintf("service%d", i)
		args := []string{"mastictray-standin", "service", "--listen", f.addressOf(name), "--name", name}
		f.startProcess(name, append(args, s.serviceFlags...)...)
		f.waitFor(name+" listens", func() bool { return f.isListening(name) })
	}
}

// writeConfig writes the configuration files of the deployment.
func (f *fleet) writeConfig(s fleetSpec) {
	var b strings.Builder
	for name, limits := range s.accounts {
		key, hash, err := keys.New(strings.NewReader(strings.Repeat(name, 64)))
		f.must(err)
		f.keys[name] = key
		fmt.Fprintf(&b, "[account %q]\ntokens-per-second = %d\nburst-tokens = %d\n", name, limits[0], limits[1])
		fmt.Fprintf(&b, "[key %q]\naccount = %s\nsha256 = %s\n", name+"-key", name, hash)
	}
	b.WriteString("[model \"m\"]\nversion = 1\n[pool \"p\"]\nkind = engine\nmodel = m\nprefill-tokens-per-second = 40000\n")
	b.WriteString("[route \"chat\"]\npath = /v1/chat/completions\npool = p\nidempotent = yes\ndeadline = 30s\n")
	b.WriteString("[pool \"s\"]\nkind = service\nmax-concurrent = 64\n")
	fmt.Fprintf(&b, "[route \"book\"]\npath = /bookings\npool = s\nidempotent = no\ndeadline = 10s\n%s\n", s.bookingRouteConfig)
	for i := range s.engines {
		f.writeTarget(&b, fmt.Sprintf("engine%d", i), "p", i)
	}
	for i := range s.services {
		f.writeTarget(&b, fmt.Sprintf("service%d", i), "s", i)
	}
	f.must(os.MkdirAll(filepath.Join(f.dir, "config"), 0o700))
	f.must(os.WriteFile(filepath.Join(f.dir, "config", "all.ini"), []byte(b.String()), 0o600))
}

func (f *fleet) writeTarget(b *strings.Builder, name, pool string, i int) {
	fmt.Fprintf(b, "[target %q]\naddress = %s\ndomain = %s\npool = %s\n", name, f.addressOf(name), f.domains[i%len(f.domains)], pool)
}

func (f *fleet) startEntry(name, domain string, s fleetSpec) {
	f.entries = append(f.entries, name)
	var peers []string
	for i := range s.entries {
		peers = append(peers, f.addressOf(fmt.Sprintf("entry%d.peer", i)))
	}
	args := []string{
		"mastictray-entry", "--instance-id", name, "--domain", domain,
		"--caller-listen", f.addressOf(name), "--peer-listen", f.addressOf(name + ".peer"), "--admin-listen", f.addressOf(name + ".admin"),
		"--log-url", "http://" + f.addressOf("log"), "--instances-url", "http://" + f.addressOf("instances"),
		"--peers", strings.Join(peers, ","), "--peer-secret-file", filepath.Join(f.dir, "secret"),
		"--fleet-domains", strings.Join(f.domains, ","), "--mint-slots", "1", "--balancer-lag", "100ms",
	}
	f.run(&process{t: f.t, name: name, args: append(args, s.entryFlags...), env: s.entryEnv, limits: s.entryLimits})
}

// nextPort allocates ports below the kernel's ephemeral range: an outgoing connection
// could take a port from that range before its process listens on it. Each test
// process starts at a different port, so that concurrent runs in two checkouts don't
// take each other's ports.
var nextPort atomic.Int32

const (
	firstPort, portCount = 12000, 18000
	portsPerRun          = 900
)

func init() { nextPort.Store(int32(os.Getpid() * portsPerRun % portCount)) }

// addressOf returns the address of a process or listener, which is allocated on
// first use.
func (f *fleet) addressOf(name string) string {
	for f.ports[name] == 0 {
		port := firstPort + int(nextPort.Add(1))%portCount
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			f.ports[name] = port
			f.must(l.Close())
		}
	}
	return fmt.Sprintf("127.0.0.1:%d", f.ports[name])
}

func (f *fleet) startProcess(name string, args ...string) {
	f.t.Helper()
	f.run(&process{t: f.t, name: name, args: args})
}

// run starts a process and stops it at the end of the test.
func (f *fleet) run(p *process) {
	p.logPath = filepath.Join(f.dir, p.name+".log")
	f.procs[p.name] = p
	p.start()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			raw, _ := os.ReadFile(p.logPath)
			f.t.Logf("--- %s\n%s", p.name, lastBytes(raw, 3000))
		}
	})
}

func (p *process) start() {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	path := filepath.Join(binaryDir, p.args[0])
	if p.limits != nil {
		p.cmd = p.limits.Command(path, p.args[1:]...)
	} else {
		p.cmd = exec.Command(path, p.args[1:]...)
	}
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process with SIGKILL, which simulates a crash.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func lastBytes(raw []byte, n int) []byte { return raw[max(0, len(raw)-n):] }

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// waitFor polls a condition until it holds and fails the test after waitTimeout.
func (f *fleet) waitFor(description string, cond func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if cond() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", description)
}

func (f *fleet) isListening(name string) bool {
	c, err := net.Dial("tcp", f.addressOf(name))
	if err == nil {
		c.Close()
	}
	return err == nil
}

func (f *fleet) isReady(entry string) bool {
	resp, err := http.Get("http://" + f.addressOf(entry+".admin") + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// adminState is the part of the admin API's state that the tests use.
type adminState struct {
	Revision  int64   `json:"revision"`
	RateShare float64 `json:"rate_share"`
	Poison    struct {
		Crashes int64 `json:"crashes"`
	} `json:"poison"`
	Accounts []struct {
		TokensPerSecond float64 `json:"tokens_per_second"`
	} `json:"accounts"`
	Targets []struct {
		Name        string   `json:"name"`
		Incarnation string   `json:"incarnation"`
		Version     string   `json:"version"`
		RejectedBy  []string `json:"rejected_by"`
	} `json:"targets"`
}

func (f *fleet) readAdminState(entry string) (s adminState, ok bool) {
	resp, err := http.Get("http://" + f.addressOf(entry+".admin") + "/admin/v1/state")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// totalRateShare returns the fraction of all rates that the entries issue
// together.
func (f *fleet) totalRateShare(entries []string) float64 {
	total := 0.0
	for _, e := range entries {
		s, _ := f.readAdminState(e)
		total += s.RateShare
	}
	return total
}

// runTool runs the operators' command-line tool and fails the test if it fails.
func (f *fleet) runTool(args ...string) string {
	f.t.Helper()
	out, status := f.tryTool(args...)
	if status != 0 {
		f.t.Fatalf("mastictray %v: status %d\n%s", args, status, out)
	}
	return out
}

// tryTool runs the operators' command-line tool and returns its output and exit
// status.
func (f *fleet) tryTool(args ...string) (out string, status int) {
	cmd := exec.Command(filepath.Join(binaryDir, "mastictray"), append([]string{"--log", "http://" + f.addressOf("log")}, args...)...)
	raw, err := cmd.CombinedOutput()
	if exitErr := (&exec.ExitError{}); err != nil && !errors.As(err, &exitErr) {
		return err.Error(), -1
	}
	return string(raw), cmd.ProcessState.ExitCode()
}

func (f *fleet) publish() {
	f.t.Helper()
	f.runTool("publish", "--as", "tester", "--root", f.dir, filepath.Join(f.dir, "config"))
}

// injectFault sets a fault of a stand-in; kind "none" clears it.
func (f *fleet) injectFault(name, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.addressOf(name)+"/fault", "application/json", strings.NewReader(body))
	if err != nil {
		return // the stand-in has been killed
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("fault %s at %s: status %d", body, name, resp.StatusCode)
	}
}

// setInstanceList replaces the platform's instance list.
func (f *fleet) setInstanceList(body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.addressOf("instances")+"/v1/instances", "application/json", strings.NewReader(body))
	f.must(err)
	resp.Body.Close()
}
