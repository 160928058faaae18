// Command lovagegap-standin stands in for the platform, the upstreams and the
// callers in local runs and tests.
//
// # Usage
//
//	lovagegap-standin serve --deployment examples/association/deployment.json
//	lovagegap-standin load --deployment examples/association/deployment.json --rate 200 --count 1000
//	lovagegap-standin bench --pictures docs/pictures
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
	"github.com/lovagegap/lovagegap/lovagegap-standin/platform"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type serveCommand struct {
	Deployment string `long:"deployment" short:"d" description:"deployment file (JSON)" required:"true"`
}

// Execute runs the stand-ins until a signal ends the process.
func (s *serveCommand) Execute([]string) error {
	d, err := deployment.Load(s.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fleet, err := upstreams.Start(d, clock.Clock{})
	if err != nil {
		return err
	}
	defer fleet.Close()
	store := platform.New(clock.Clock{}, platform.VMs(d)...)
	for address, handler := range map[string]http.Handler{d.PlatformAddress: store.Handler(), d.ControlAddress: fleet.Control()} {
		server, err := serve(address, handler)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	fmt.Printf("stand-in: %d upstreams, control at %s, platform at %s\n", len(fleet.All()), d.ControlAddress, d.PlatformAddress)
	<-ctx.Done()
	return nil
}

func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	for _, command := range []struct {
		name, help string
		data       any
	}{
		{"serve", "Serve the stand-ins", &serveCommand{}},
		{"load", "Send queries and measure the answers", &loadCommand{}},
		{"bench", "Measure the decisions of the core in a simulation", &benchCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.help, "", command.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// exitCode tells wrong usage from a command that failed.
func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil, flags.WroteHelp(err):
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	default:
		return exitFailed
	}
}
