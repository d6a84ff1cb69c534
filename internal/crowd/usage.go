package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process takes of its machine.
type Usage struct {
	// Resident is the memory of the process in bytes; Unread are the bytes that wait in the
	// receive buffers of its listening ports.
	Resident, Unread int64
	Descriptors      int
}

// Memory returns all memory in bytes that counts towards that of the machine.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

const sampleInterval = 20 * time.Millisecond

// Watch is a series of samples of a process.
type Watch struct {
	mu   sync.Mutex
	most struct{ memory, descriptors Usage }
	err  error
	stop chan struct{}
	done chan struct{}
}

// StartWatch samples a process until Stop. addresses are those at which it listens.
func StartWatch(pid int, addresses ...string) *Watch {
	w := &Watch{stop: make(chan struct{}), done: make(chan struct{})}
	ports := map[string]bool{}
	for _, a := range addresses {
		port, _ := strconv.Atoi(a[strings.LastIndexByte(a, ':')+1:])
		ports[fmt.Sprintf(":%04X", port)] = true
	}
	go func() {
		defer close(w.done)
		for {
			u, err := measure(pid, ports)
			w.add(u, err)
			select {
			case <-w.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return w
}

func (w *Watch) add(u Usage, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.err = err
		return
	}
	if u.Memory() > w.most.memory.Memory() {
		w.most.memory = u
	}
	if u.Descriptors > w.most.descriptors.Descriptors {
		w.most.descriptors = u
	}
}

// Stop ends the series. It returns the sample with the most memory and that with the most
// descriptors, and an error if the process could not be read.
func (w *Watch) Stop() (memory, descriptors Usage, err error) {
	close(w.stop)
	<-w.done
	return w.most.memory, w.most.descriptors, w.err
}

func measure(pid int, ports map[string]bool) (Usage, error) {
	var u Usage
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	if fields := strings.Fields(string(raw)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		u.Resident = pages * int64(os.Getpagesize())
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(open)
	u.Unread, err = unreadBytes(ports)
	return u, err
}

// stateListen is the state of a listening socket, whose queue is counted in connections.
const stateListen = "0A"

// unreadBytes returns the bytes that wait unread on connections accepted at the ports.
func unreadBytes(ports map[string]bool) (int64, error) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	sum := int64(0)
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || fields[3] == stateListen {
			continue
		}
		local := fields[1]
		if i := strings.LastIndexByte(local, ':'); i < 0 || !ports[local[i:]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			sum += n
		}
	}
	return sum, nil
}
