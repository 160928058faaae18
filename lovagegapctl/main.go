// Command lovagegapctl is the command-line tool of operators: it inspects the
// fleet and changes its settings through the operators' port of any daemon.
//
// # Usage
//
//	lovagegapctl --help
//	lovagegapctl --address 10.0.0.5:17110 show
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/lovagegap/lovagegap/lovagegapctl/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := command.Run(ctx, os.Args[1:], command.SystemEnvironment())
	stop()
	os.Exit(code)
}
