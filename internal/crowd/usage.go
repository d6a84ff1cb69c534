package crowd

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process takes of its machine.
type Usage struct {
	// Resident is the memory of the process in bytes; Unread are the bytes that wait in the receive
	// buffers of its connections and of those that wait to be accepted at its ports, Unsent those that
	// wait in the send buffers.
	Resident, Unread, Unsent int64
	Descriptors              int
}

// Memory returns all memory in bytes that counts towards that of the machine.
func (u Usage) Memory() int64 { return u.Resident + u.Unread + u.Unsent }

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
	sockets, descriptors, err := openSockets(pid)
	if err != nil {
		return u, err
	}
	u.Descriptors = descriptors
	u.Unread, u.Unsent, err = queuedBytes(ports, sockets)
	return u, err
}

// openSockets returns the inodes of the sockets of a process, and the number of its descriptors.
func openSockets(pid int) (inodes map[string]bool, descriptors int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	open, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	inodes = make(map[string]bool, len(open))
	for _, d := range open {
		target, err := os.Readlink(filepath.Join(dir, d.Name()))
		if err != nil {
			continue // it has been closed
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(open), nil
}

// The fields of a line of /proc/net/tcp.
const (
	fieldLocal, fieldState, fieldQueues, fieldInode = 1, 3, 4, 9
	// stateListen is the state of a listening socket, whose queue is counted in connections.
	stateListen = "0A"
)

// queuedBytes returns the bytes that wait unread and unsent on the given sockets, and on connections
// to the ports that are not accepted yet.
func queuedBytes(ports, sockets map[string]bool) (unread, unsent int64, err error) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) <= fieldInode || fields[fieldState] == stateListen {
			continue
		}
		local := fields[fieldLocal]
		if i := strings.LastIndexByte(local, ':'); !sockets[fields[fieldInode]] && (i < 0 || !ports[local[i:]]) {
			continue
		}
		sent, received, _ := strings.Cut(fields[fieldQueues], ":")
		unsent += parseHex(sent)
		unread += parseHex(received)
	}
	return unread, unsent, nil
}

// parseHex returns 0 for what is no number.
func parseHex(text string) int64 {
	n, _ := strconv.ParseInt(text, 16, 64)
	return n
}
