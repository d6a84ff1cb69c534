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

// command defines the command line.
type command struct {
	Log     string        `help:"Base URL of the platform's log service." env:"MASTICTRAY_LOG" placeholder:"URL" default:"http://127.0.0.1:19000"`
	Admin   string        `help:"Base URL of an entry instance's admin API." env:"MASTICTRAY_ADMIN" placeholder:"URL" default:"http://127.0.0.1:18100"`
	Token   string        `help:"Operator token for the admin API; preferably set by the environment variable." env:"MASTICTRAY_ADMIN_TOKEN" placeholder:"TOKEN"`
	Output  string        `help:"Output format of results." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Time limit of the command." default:"10s"`

	Lint       lintCommand       `cmd:"" help:"Validate the files of directories and print all problems."`
	Diff       diffCommand       `cmd:"" help:"Show what publishing the directories would change."`
	Publish    publishCommand    `cmd:"" help:"Publish the files of directories."`
	Outcome    outcomeCommand    `cmd:"" help:"Show the outcome of an operation."`
	Keys       keysCommand       `cmd:"" help:"Create and withdraw API keys."`
	Status     statusCommand     `cmd:"" help:"Show the state of an entry instance."`
	Audit      auditCommand      `cmd:"" help:"Show the audit trail of changes and of orders to targets."`
	Explain    explainCommand    `cmd:"" help:"Show which target a request would be sent to, and why."`
	Timeline   timelineCommand   `cmd:"" help:"Summarize logs from standard input by time window."`
	Completion completionCommand `cmd:"" help:"Print a completion script."`
}

// Env holds the dependencies of the commands.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Client is used for the log service and the admin API.
	Client *http.Client
	// Log replaces the log service at the URL of the --log flag, in tests.
	Log platform.Log
	// Now returns the wall clock time for audit entries.
	Now func() time.Time
	// Random is the source of randomness for keys.
	Random io.Reader

	ctx context.Context
	cmd *command
}

// exitRequest is the value of the panic that replaces kong's call of os.Exit,
// for example after --help.
type exitRequest int

// Main runs a command line and returns the exit code.
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
		return env.reportError(errors.Wrap(err, "command line"))
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return env.reportError(errors.Mark(err, errUsage))
	}
	env.cmd = cmd
	if env.Log == nil {
		env.Log = platform.NewHTTPLog(cmd.Log, env.Client)
	}
	var cancel context.CancelFunc
	env.ctx, cancel = context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	return env.reportError(parsed.Run(&env))
}

// reportError prints an error, if there is one, and returns the exit code.
func (e *Env) reportError(err error) ExitCode {
	if err != nil {
		fmt.Fprintf(e.Stderr, "mastictray: %v\n", err)
	}
	return exitCode(err)
}
