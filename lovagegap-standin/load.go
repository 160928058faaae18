package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
	"github.com/lovagegap/lovagegap/lovagegap-standin/load"
)

// errIncomplete is the error of a --strict run that has failed by Report.Failed.
var errIncomplete = errors.New("some queries were not answered completely")

type loadCommand struct {
	Deployment string        `long:"deployment" short:"d" description:"deployment file that names entries, user and services"`
	Entries    []string      `long:"entry" description:"address of an entry daemon (repeatable)"`
	User       string        `long:"user" description:"user whose services are queried"`
	Services   []string      `long:"service" description:"service to query (repeatable)"`
	Rate       float64       `long:"rate" default:"100" description:"queries a second over all services"`
	Count      int           `long:"count" default:"1000" description:"queries over all services"`
	Deadline   time.Duration `long:"deadline" default:"1s" description:"deadline of a query"`
	Body       string        `long:"body" description:"query as JSON"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrival times"`
	Wait       time.Duration `long:"wait" default:"0s" description:"time for the entry daemons to become ready"`
	WarmUp     bool          `long:"warm-up" description:"within --wait, query each service at each entry until one answer is complete"`
	Addresses  bool          `long:"addresses" description:"ask for entry addresses and follow their lifetime"`
	DataCentre string        `long:"data-centre" description:"data centre of the caller, for --addresses"`
	JSON       bool          `long:"json" description:"print JSON"`
	Strict     bool          `long:"strict" description:"fail unless every query is answered completely"`
}

// Execute sends the queries and prints the report as text or JSON. With --strict it
// returns an error unless every query was answered completely.
func (l *loadCommand) Execute([]string) error {
	options, err := l.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if l.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report.Summaries())
	} else {
		report.Print(os.Stdout)
	}
	if err == nil && l.Strict && report.Failed() {
		err = errIncomplete
	}
	return err
}

// options returns the options of the load. User, entries and services that the
// flags leave out come from the deployment file.
func (l *loadCommand) options() (load.Options, error) {
	o := load.Options{
		Entries: l.Entries, User: l.User, Services: l.Services, Rate: l.Rate, Count: l.Count, Deadline: l.Deadline,
		Body: l.Body, Seed: l.Seed, ReadyTimeout: l.Wait, WarmUp: l.WarmUp, FollowAddresses: l.Addresses,
		DataCentre: l.DataCentre,
	}
	if l.Deployment == "" {
		return o, nil
	}
	d, err := deployment.Load(l.Deployment)
	if err != nil {
		return o, err
	}
	if o.User == "" {
		o.User = d.User
	}
	if len(o.Entries) == 0 {
		for _, entry := range d.Entries {
			o.Entries = append(o.Entries, entry.Address)
		}
	}
	if len(o.Services) == 0 {
		for _, service := range d.Services {
			o.Services = append(o.Services, service.Name)
		}
	}
	return o, nil
}
