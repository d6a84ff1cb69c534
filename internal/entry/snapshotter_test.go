package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/platform"
)

// A starting instance must find a checkpoint in the log, however short the
// retention is. Without one it takes no rate slot until the next checkpoint is
// written, and its share of every account's rate is missing.
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
		{"interval passed", 1, 10, 1 + checkpointInterval, 11, 0, true},
		{"many records since", 1, 10, 2, 10 + checkpointRecordInterval, 0, true},
		{"in the newer half of the retained records", 1, 106, 2, 110, 100, false},
		{"in the older half of the retained records", 1, 104, 2, 110, 100, true},
		{"trimmed", 1, 90, 2, 110, 100, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := &snapshotter{checkpointAt: x.written, checkpointNext: x.through}
			is.New(t).Equal(s.checkpointDue(x.now, x.next, x.start), x.due)
		})
	}
}
