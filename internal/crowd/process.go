package crowd

import (
	"fmt"
	"os/exec"
	"testing"
)

// Limits are those of a process that meets a crowd.
type Limits struct {
	MemoryMB, Descriptors int
}

// Command returns a command that starts a program under its limit of descriptors.
func (l Limits) Command(program string, args ...string) *exec.Cmd {
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.Descriptors)
	return exec.Command("bash", append([]string{"-c", limited, program}, args...)...)
}

// Check ends the watch of a process that has met a crowd. The test fails if the process has ended or
// was not within its limits all the time.
func (l Limits) Check(t testing.TB, w *Watch, c *Crowd) {
	t.Helper()
	memory, descriptors, err := w.Stop()
	t.Logf("connections=%d resident_kb=%d unread_kb=%d unsent_kb=%d descriptors=%d", c.Connections.Load(), memory.Resident>>10, memory.Unread>>10, memory.Unsent>>10, descriptors.Descriptors)
	if err != nil || memory.Resident == 0 {
		t.Errorf("the process has ended: %v", err)
	}
	if memory.Memory() > int64(l.MemoryMB)<<20 {
		t.Errorf("memory: %d kB, of these %d kB unread and %d kB unsent; %d MB allowed", memory.Memory()>>10, memory.Unread>>10, memory.Unsent>>10, l.MemoryMB)
	}
	if descriptors.Descriptors >= l.Descriptors {
		t.Errorf("descriptors: all %d in use", descriptors.Descriptors)
	}
}
