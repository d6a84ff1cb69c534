package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
)

// command is the whole command line.
type command struct {
	Log     string        `help:"Base URL of the platform's log service." env:"MASTICTRAY_LOG" placeholder:"URL" default:"http://127.0.0.1:19000"`
	Admin   string        `help:"Base URL of an entry instance's admin API." env:"MASTICTRAY_ADMIN" placeholder:"URL" default:"http://127.0.0.1:18100"`
	Token   string        `help:"Operator token for the admin API; better set by the environment." env:"MASTICTRAY_ADMIN_TOKEN" placeholder:"TOKEN"`
	Output  string        `help:"How results are printed." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"How long to try before giving up." default:"10s"`

	Lint       lintCommand       `cmd:"" help:"Check the files of directories, all problems at once."`
	Diff       diffCommand       `cmd:"" help:"Show what publishing the directories would change."`
	Publish    publishCommand    `cmd:"" help:"Put the files of directories into force."`
	Outcome    outcomeCommand    `cmd:"" help:"Say what became of an operation."`
	Keys       keysCommand       `cmd:"" help:"Create and withdraw callers' keys."`
	Status     statusCommand     `cmd:"" help:"Show the state of an entry instance."`
	Audit      auditCommand      `cmd:"" help:"Show who changed what, and every order to a target."`
	Explain    explainCommand    `cmd:"" help:"Say where a request would go, and why."`
	Timeline   timelineCommand   `cmd:"" help:"Read logs from standard input and show what happened, by time."`
	Completion completionCommand `cmd:"" help:"Print a completion script."`
}

// Env is what a command works with.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Client speaks to the log and the admin API.
	Client *http.Client
	// Log replaces the log service at the given URL, in tests.
	Log platform.Log
	// Now is the wall clock for audit records.
	Now func() time.Time
	// Random is the source of keys.
	Random io.Reader

	ctx context.Context
	cmd *command
}

// exitRequest carries the exit that kong asks for, after --help.
type exitRequest int

// Main runs one command line and gives the exit code.
func Main(ctx context.Context, args []string, env Env) (code ExitCode) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitRequest:
			code = ExitCode(r)
		default:
			panic(r)
		}
	}()
	cmd := &command{}
	parser, err := kong.New(cmd,
		kong.Name("mastictray"), kong.Description(helpText), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(status int) { panic(exitRequest(status)) }),
	)
	if err != nil {
		return env.fail(errors.Wrap(err, "command line"))
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return env.fail(errors.Mark(err, errUsage))
	}
	env.cmd = cmd
	if env.Log == nil {
		env.Log = platform.NewHTTPLog(cmd.Log, env.Client)
	}
	var cancel context.CancelFunc
	env.ctx, cancel = context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	return env.fail(parsed.Run(&env))
}

func (e *Env) fail(err error) ExitCode {
	if err != nil {
		fmt.Fprintf(e.Stderr, "mastictray: %v\n", err)
	}
	return exitCode(err)
}
