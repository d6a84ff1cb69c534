package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mastictray/mastictray/platform/platformtest"
)

const (
	// gatewayProgram is the program that the deploy file runs, from the root of the repository.
	gatewayProgram = "target/mastictray-gateway"
	host           = "api.example"
	readyTimeout   = 20 * time.Second
	// stable is the bound stable-ms of the site, with a margin for what the client measures.
	stable       = 3 * time.Second
	stableMargin = 500 * time.Millisecond
	// heartbeat is the interval at which servers write to the store, and lapse the time after
	// which the entry of a silent one is removed.
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
)

// world holds the processes and stand-ins of one case, and the record of what they did.
type world struct {
	trouble   bool
	dir       string
	startedAt time.Time
	store     *platformtest.Store

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	closed    bool
	nextID    int
}

func newWorld(recordFile string, trouble bool) (*world, error) {
	if _, err := os.Stat(gatewayProgram); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{trouble: trouble, dir: dir, startedAt: time.Now(), record: record, store: platformtest.NewStore()}, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// newID returns a new id of a client attempt.
func (w *world) newID(kind string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%s-%04d", kind, w.nextID)
}

// freeAddress returns a loopback ip:port without a listener.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// instance is one machine of the system with its process.
type instance struct {
	w                                     *world
	name, domain                          string
	front, ready, peers, metrics, setting string

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
}

// addInstances starts machines, one in each zone, and waits until all are ready.
func (w *world) addInstances(zones ...string) error {
	for _, zone := range zones {
		i := &instance{w: w, name: "edge-" + zone + "-1", domain: zone}
		for _, address := range []*string{&i.front, &i.ready, &i.peers, &i.metrics} {
			a, err := freeAddress()
			if err != nil {
				return err
			}
			*address = a
		}
		if err := i.writeSettings(); err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes deploy/gateway.ini.tmpl with the values of a small deployment.
func (i *instance) writeSettings() error {
	i.setting = filepath.Join(i.w.dir, i.name+".ini")
	text := strings.Join([]string{
		"[identity]", "instance-id = " + i.name, "domain = " + i.domain,
		"[listeners]", "caller-listen = " + i.front, "ready-listen = " + i.ready, "peer-listen = " + i.peers, "metrics-listen = " + i.metrics,
		"[platform]", "store-address = " + i.w.store.Address(),
		"contracts = base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
		"[limits]", "memory-mb = 284", "cpu-share = 0.4", "cpu-speed = 1", "link-mbps = 1000.0", "key-bound = 5000ms",
		"retry-ratio = 0.2", "retry-reserve = 52", "weights-bound = 10000ms", "config-bound = 2000ms", "drain-bound = 2000ms",
		"lease-gap = 3000ms", "[shutdown]", "grace = 8s", "",
	}, "\n")
	return os.WriteFile(i.setting, []byte(text), 0o600)
}

func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(gatewayProgram)
	cmd.Env = append(os.Environ(), "MASTICTRAY_CONFIG="+i.setting)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited, i.startedAt = cmd, exited, time.Now()
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	i.w.note("machine %s: process started", i.name)
	return nil
}

func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.process, i.exited
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// grace is the bound grace-s of the site.
const grace = 8 * time.Second

// restart stops the process as the platform does, with SIGTERM and after the grace SIGKILL, and
// starts it again.
func (i *instance) restart() error {
	i.mu.Lock()
	cmd, exited := i.process, i.exited
	i.mu.Unlock()
	i.w.note("machine %s: SIGTERM", i.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-exited:
	case <-time.After(grace):
		i.w.note("machine %s: SIGKILL", i.name)
		_ = cmd.Process.Kill()
		<-exited
	}
	i.w.note("machine %s: process ended", i.name)
	if err := i.start(); err != nil {
		return err
	}
	return i.awaitReady()
}

// isReady asks the machine as the load balancer does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + i.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if i.isReady() {
			i.w.note("machine %s: ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("machine %s does not become ready", i.name)
}

// inTouch reports whether the process has run undisturbed for stable-ms.
func (i *instance) inTouch() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.startedAt) > stable+stableMargin
}

// request is one client attempt.
type request struct {
	id, path, key, body string
	timeout             time.Duration
	header              map[string]string
}

// answer is what the client got. A status of 0 means a closed channel or none in time.
type answer struct {
	status     int
	retryAfter string
	body       string
	err        error
}

// send sends a request to a machine on a new channel.
func (i *instance) send(q request) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.front+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+q.key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	client := http.Client{Timeout: q.timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(body), err: err}
}
