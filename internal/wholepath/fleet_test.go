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

	"github.com/mastictray/mastictray/internal/keys"
)

// patience bounds every wait for a condition. It is far above what any
// condition takes, so that a busy machine does not change a verdict.
const patience = 30 * time.Second

var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wholepath")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/mastictray", "../../cmd/mastictray-entry", "../../cmd/mastictray-standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	return m.Run()
}

// process is one process of the fleet.
type process struct {
	t    testing.TB
	name string
	args []string
	log  string
	cmd  *exec.Cmd
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
	// keys by account.
	keys map[string]string
}

// shape is what a test wants to run.
type shape struct {
	entries, engines, services int
	// engineFlags go to every engine.
	engineFlags []string
	// route is added to the section of the booking route.
	route string
	// accounts by name: rate and burst in tokens.
	accounts map[string][2]int
	// logFlags go to the log service, entryFlags to every instance.
	logFlags, entryFlags []string
}

func newFleet(t testing.TB, s shape) *fleet {
	t.Helper()
	if test, ok := t.(*testing.T); ok {
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
	f.start("log", append([]string{"mastictray-standin", "log", "--listen", f.addr("log")}, s.logFlags...)...)
	f.start("instances", "mastictray-standin", "instances", "--listen", f.addr("instances"))
	f.startTargets(s)
	f.config(s)
	f.wait("log listens", func() bool { return f.listens("log") })
	f.publish()
	for i := range s.entries {
		f.startEntry(fmt.Sprintf("entry%d", i), f.domains[i%len(f.domains)], s)
	}
	for _, name := range f.entries {
		f.wait(name+" is ready", func() bool { return f.ready(name) })
	}
	f.wait("all mint slots are held", func() bool { return f.share(f.entries) > 0.99 })
	return f
}

func (f *fleet) startTargets(s shape) {
	for i := range s.engines {
		name := fmt.Sprintf("engine%d", i)
		f.engines = append(f.engines, name)
		args := []string{"mastictray-standin", "engine", "--listen", f.addr(name), "--model", "m", "--seed", fmt.Sprint(i + 1)}
		f.start(name, append(args, s.engineFlags...)...)
		f.wait(name+" listens", func() bool { return f.listens(name) })
	}
	for i := range s.services {
		name := fmt.Sprintf("service%d", i)
		f.start(name, "mastictray-standin", "service", "--listen", f.addr(name), "--name", name)
		f.wait(name+" listens", func() bool { return f.listens(name) })
	}
}

// config writes the configuration files of the deployment.
func (f *fleet) config(s shape) {
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
	fmt.Fprintf(&b, "[route \"book\"]\npath = /bookings\npool = s\nidempotent = no\ndeadline = 10s\n%s\n", s.route)
	for i := range s.engines {
		f.target(&b, fmt.Sprintf("engine%d", i), "p", i)
	}
	for i := range s.services {
		f.target(&b, fmt.Sprintf("service%d", i), "s", i)
	}
	f.must(os.MkdirAll(filepath.Join(f.dir, "config"), 0o700))
	f.must(os.WriteFile(filepath.Join(f.dir, "config", "all.ini"), []byte(b.String()), 0o600))
}

func (f *fleet) target(b *strings.Builder, name, pool string, i int) {
	fmt.Fprintf(b, "[target %q]\naddress = %s\ndomain = %s\npool = %s\n", name, f.addr(name), f.domains[i%len(f.domains)], pool)
}

func (f *fleet) startEntry(name, domain string, s shape) {
	f.entries = append(f.entries, name)
	var peers []string
	for i := range s.entries {
		peers = append(peers, f.addr(fmt.Sprintf("entry%d.peer", i)))
	}
	args := []string{
		"mastictray-entry", "--instance-id", name, "--domain", domain,
		"--caller-listen", f.addr(name), "--peer-listen", f.addr(name + ".peer"), "--admin-listen", f.addr(name + ".admin"),
		"--log-url", "http://" + f.addr("log"), "--instances-url", "http://" + f.addr("instances"),
		"--peers", strings.Join(peers, ","), "--peer-secret-file", filepath.Join(f.dir, "secret"),
		"--fleet-domains", strings.Join(f.domains, ","), "--mint-slots", "1", "--balancer-lag", "100ms",
	}
	f.start(name, append(args, s.entryFlags...)...)
}

// nextPort hands out ports below the range from which the kernel takes those
// of outgoing connections: a port from that range may be taken again before
// its process listens. Runs of two checkouts at once begin at other ports, for
// the same reason.
var nextPort atomic.Int32

const (
	firstPort, ports = 12000, 18000
	portsOfRun       = 900
)

func init() { nextPort.Store(int32(os.Getpid() * portsOfRun % ports)) }

// addr is the address of a name, chosen when first asked for.
func (f *fleet) addr(name string) string {
	for f.ports[name] == 0 {
		port := firstPort + int(nextPort.Add(1))%ports
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			f.ports[name] = port
			f.must(l.Close())
		}
	}
	return fmt.Sprintf("127.0.0.1:%d", f.ports[name])
}

func (f *fleet) start(name string, args ...string) {
	f.t.Helper()
	p := &process{t: f.t, name: name, args: args, log: filepath.Join(f.dir, name+".log")}
	f.procs[name] = p
	p.begin()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			raw, _ := os.ReadFile(p.log)
			f.t.Logf("--- %s\n%s", name, tail(raw, 3000))
		}
	})
}

func (p *process) begin() {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process at once, as a crash does.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func tail(raw []byte, n int) []byte { return raw[max(0, len(raw)-n):] }

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// wait waits for a condition.
func (f *fleet) wait(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if cond() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("gave up waiting: %s", what)
}

func (f *fleet) listens(name string) bool {
	c, err := net.Dial("tcp", f.addr(name))
	if err == nil {
		c.Close()
	}
	return err == nil
}

func (f *fleet) ready(entry string) bool {
	resp, err := http.Get("http://" + f.addr(entry+".admin") + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// entryState is the part of the admin API's state that tests look at.
type entryState struct {
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

func (f *fleet) state(entry string) (s entryState, ok bool) {
	resp, err := http.Get("http://" + f.addr(entry+".admin") + "/admin/v1/state")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// share is the part of all rates that the entries mint together.
func (f *fleet) share(entries []string) float64 {
	sum := 0.0
	for _, e := range entries {
		s, _ := f.state(e)
		sum += s.RateShare
	}
	return sum
}

// tool runs the operators' command line.
func (f *fleet) tool(args ...string) string {
	f.t.Helper()
	out, status := f.tryTool(args...)
	if status != 0 {
		f.t.Fatalf("mastictray %v: status %d\n%s", args, status, out)
	}
	return out
}

// tryTool runs the operators' command line and returns its output and status.
func (f *fleet) tryTool(args ...string) (out string, status int) {
	cmd := exec.Command(filepath.Join(binaries, "mastictray"), append([]string{"--log", "http://" + f.addr("log")}, args...)...)
	raw, err := cmd.CombinedOutput()
	if exit := (&exec.ExitError{}); err != nil && !errors.As(err, &exit) {
		return err.Error(), -1
	}
	return string(raw), cmd.ProcessState.ExitCode()
}

func (f *fleet) publish() {
	f.t.Helper()
	f.tool("publish", "--as", "tester", "--root", f.dir, filepath.Join(f.dir, "config"))
}

// fault switches a fault of a stand-in on.
func (f *fleet) fault(name, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.addr(name)+"/fault", "application/json", strings.NewReader(body))
	if err != nil {
		return // a killed stand-in gives no answer
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("fault %s at %s: status %d", body, name, resp.StatusCode)
	}
}

// list gives the platform's instance list.
func (f *fleet) list(body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.addr("instances")+"/v1/instances", "application/json", strings.NewReader(body))
	f.must(err)
	resp.Body.Close()
}
