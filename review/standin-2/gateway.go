package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the project on one machine, started with the command of the deploy file.
type gateway struct {
	name, zone    string
	front, ready  string
	dir, settings string
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
}

const gatewayProgram = "target/mastictray-gateway"

// settingsText is what the template of the deploy file gives for a machine of the site
// ocfv-conduits.
const settingsText = `[identity]
instance-id = %s
domain = %s
[listeners]
caller-listen = %s
ready-listen = %s
peer-listen = %s
metrics-listen = %s
[platform]
store-address = %s
contracts = base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform
[limits]
memory-mb = 284
cpu-share = 0.4
cpu-speed = 1
link-mbps = 1000.0
key-bound = 5000ms
retry-ratio = 0.2
retry-reserve = 52
weights-bound = 10000ms
config-bound = 2000ms
drain-bound = 2000ms
lease-gap = 3000ms
[shutdown]
grace = 8s
`

// Ports are taken from below the range of ephemeral ports, where no outgoing connection takes one
// before its listener starts.
const (
	firstPort = 20000
	portCount = 10000
)

func freeAddress() (string, error) {
	for range 100 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

func newGateway(dir, name, zone, storeAddress string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	g := &gateway{name: name, zone: zone, front: addresses[0], ready: addresses[1], dir: dir, settings: filepath.Join(dir, name+".ini")}
	text := fmt.Sprintf(settingsText, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(gatewayProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MASTICTRAY_CONFIG=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit itself is what counts
		log.Close()
		close(exited)
	}()
	return nil
}

// stop ends the process and waits for its exit.
func (g *gateway) stop() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", g.name, strings.Join(g.logLines(" "), "\n"))
}

// logLines returns the lines of the process's log with one of the words.
func (g *gateway) logLines(words ...string) []string {
	raw, _ := os.ReadFile(filepath.Join(g.dir, g.name+".log"))
	var out []string
	for _, line := range strings.Split(string(raw), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				out = append(out, line)
				break
			}
		}
	}
	return out
}
