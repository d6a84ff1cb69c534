package cli

import (
	"github.com/cockroachdb/errors"
)

// ExitCode is the exit status of the process. Scripts may rely on the values.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed: a service was unreachable or a file unreadable. Nothing was
	// changed.
	ExitFailed ExitCode = 1
	// ExitUsage: the command line is invalid. Nothing was changed.
	ExitUsage ExitCode = 2
	// ExitInvalid: the files have problems. Nothing was changed.
	ExitInvalid ExitCode = 3
	// ExitRejected: the change was rejected, for example because of a
	// conflicting change by another operator. Nothing was changed.
	ExitRejected ExitCode = 4
	// ExitUnknown: the change may be in force. The outcome command tells by
	// the operation ID.
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

// problemsError returns the error of a command that has printed problems.
func problemsError(count int) error {
	return errors.Mark(errors.Newf("%d problems", count), errInvalid)
}

const helpText = `Check, publish and inspect the configuration of mastictray.

Exit codes: 0 success; 1 failure, nothing changed; 2 invalid command line;
3 the files have problems; 4 the change was rejected, the output says why;
5 outcome unknown, check with "mastictray outcome OP".`
