package cli

import (
	"github.com/cockroachdb/errors"
)

// ExitCode is the status of the process; scripts may rely on the values.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed: a service was not reached, or a file not read. Nothing
	// was changed.
	ExitFailed ExitCode = 1
	// ExitUsage: the command line is wrong. Nothing was changed.
	ExitUsage ExitCode = 2
	// ExitInvalid: the files have problems. Nothing was changed.
	ExitInvalid ExitCode = 3
	// ExitRejected: the change was judged and rejected, for example since
	// another operator was first. Nothing was changed.
	ExitRejected ExitCode = 4
	// ExitUnknown: the change may be in force; ask again by its op id.
	ExitUnknown ExitCode = 5
)

var (
	errInvalid  = errors.New("invalid")
	errRejected = errors.New("rejected")
	errUnknown  = errors.New("outcome unknown")
	errUsage    = errors.New("usage")
)

func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errInvalid):
		return ExitInvalid
	case errors.Is(err, errRejected):
		return ExitRejected
	case errors.Is(err, errUnknown):
		return ExitUnknown
	case errors.Is(err, errUsage):
		return ExitUsage
	}
	return ExitFailed
}

// invalid is the error after the problems were printed.
func invalid(count int) error {
	return errors.Mark(errors.Newf("%d problems", count), errInvalid)
}

const helpText = `Check, publish and inspect the configuration of mastictray.

Exit codes: 0 done; 1 failed, nothing changed; 2 wrong command line;
3 the files have problems; 4 the change was rejected, the output names who
won; 5 outcome unknown, ask with "mastictray outcome OP".`
