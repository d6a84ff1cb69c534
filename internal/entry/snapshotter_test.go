package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// An instance that starts finds a checkpoint in what the log has kept, however
// little that is. Otherwise it would hold no slot of the rates until the next
// one, and its part of every account's rate would be missing.
func TestCheckpointRenewedBeforeLogTrim(t *testing.T) {
	for _, x := range []struct {
		name    string
		written time.Duration
		through platform.Offset
		now     time.Duration
		next    platform.Offset
		start   platform.Offset
		due     bool
	}{
		{"none written yet", 0, 0, 1, 5, 0, true},
		{"just written, nothing trimmed", 1, 10, 2, 30, 0, false},
		{"long ago", 1, 10, 1 + checkpointInterval, 11, 0, true},
		{"many records", 1, 10, 2, 10 + checkpointRecordInterval, 0, true},
		{"in the newer half of what is kept", 1, 106, 2, 110, 100, false},
		{"in the older half of what is kept", 1, 104, 2, 110, 100, true},
		{"dropped", 1, 90, 2, 110, 100, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := &snapshotter{checkpointAt: x.written, checkpointNext: x.through}
			is.New(t).Equal(s.checkpointDue(x.now, x.next, x.start), x.due)
		})
	}
}
