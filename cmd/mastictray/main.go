// Command mastictray is the command-line tool for operators.
package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/mastictray/mastictray/internal/cli"
	"github.com/mastictray/mastictray/internal/responsecheck"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	transport := responsecheck.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	env := cli.Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Client: &http.Client{Transport: transport}, Now: time.Now, Random: rand.Reader,
	}
	os.Exit(int(cli.Main(ctx, os.Args[1:], env)))
}
