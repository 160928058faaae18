// Command lovagegapd runs an entry daemon of lovagegap. The daemon receives queries
// of callers, sends each to all shards of a service, and returns one merged answer.
//
// SIGINT and SIGTERM begin a planned stop. The exit code is 0 after a planned stop, 1
// if the daemon failed to run, and 2 for an invalid command line or configuration.
//
// # Usage
//
//	lovagegapd --config lovagegapd.json
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/stdr"
	"github.com/jessevdk/go-flags"

	"github.com/lovagegap/lovagegap/entry/daemon"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Config string `long:"config" short:"c" description:"configuration file (JSON)" required:"true"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	configuration, err := daemon.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovagegapd:", err)
		return exitUsage
	}
	logger := stdr.New(log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, configuration, logger); err != nil {
		fmt.Fprintln(os.Stderr, "lovagegapd:", err)
		return exitFailed
	}
	return exitOK
}
