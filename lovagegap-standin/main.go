// Command lovagegap-standin simulates the platform, the upstreams and the callers
// for local runs and tests.
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
	exitOK     = 0 // also after help
	exitFailed = 1 // the command failed
	exitUsage  = 2 // unknown command or wrong flags
)

type serveCommand struct {
	Deployment string `long:"deployment" short:"d" description:"deployment file (JSON)" required:"true"`
}

// Execute runs the platform and the upstreams until SIGINT or SIGTERM.
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
	platformServer := platform.New(clock.Clock{}, platform.VMs(d)...)
	for address, handler := range map[string]http.Handler{
		d.PlatformAddress: platformServer.Handler(),
		d.ControlAddress:  fleet.Control(),
	} {
		server, err := serve(address, handler)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	fmt.Printf("stand-in: %d upstreams, control at %s, platform at %s\n",
		len(fleet.All()), d.ControlAddress, d.PlatformAddress)
	<-ctx.Done()
	return nil
}

// serve listens on address and serves handler in a goroutine. The caller must close
// the server.
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
		{"serve", "Run the simulated platform and upstreams", &serveCommand{}},
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

// exitCode returns the exit code for the error of a command or of the flags.
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
