// Command lovagegapd is the entry daemon of lovagegap: it takes callers'
// queries, spreads each over all shards of a service, and returns one answer.
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
