package command

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// errPartial means that the events of some daemons are missing from the output.
var errPartial = errors.New("not every daemon answered")

// eventsCommand lists the events of one daemon or of all.
type eventsCommand struct {
	Fleet bool   `long:"fleet" description:"merge the events of all daemons by time; if the fleet does not report operators' addresses, of every --address"`
	After uint64 `long:"after" description:"show only events after this sequence number of the daemon"`
	Kind  string `long:"kind" description:"show only events of this kind, such as settings or cold-start"`
}

// fleetEvent is an event with the id of its daemon.
type fleetEvent struct {
	Daemon string `json:"daemon"`
	operators.Event
}

func (c *eventsCommand) run(ctx context.Context, s *session) error {
	if c.Fleet {
		return c.runFleet(ctx, s)
	}
	reply, err := s.client.Events(ctx, c.After)
	if err != nil {
		return err
	}
	reply.Events = c.filterKind(reply.Events)
	return s.print(reply, func(w io.Writer) { writeEvents(w, withDaemon(reply)) })
}

// filterKind removes the events of other kinds than --kind. It changes list.
func (c *eventsCommand) filterKind(list []operators.Event) []operators.Event {
	if c.Kind == "" {
		return list
	}
	return slices.DeleteFunc(list, func(e operators.Event) bool { return e.Kind != c.Kind })
}

// runFleet prints the events of all daemons that answer, and returns errPartial if one
// did not.
func (c *eventsCommand) runFleet(ctx context.Context, s *session) error {
	addresses, err := s.operatorAddresses(ctx)
	if err != nil {
		return err
	}
	list := []fleetEvent{}
	missing := 0
	for _, address := range addresses {
		reply, err := s.client.At(address).Events(ctx, c.After)
		if err != nil {
			s.notef("cannot read events of %s: %v", address, err)
			missing++
			continue
		}
		reply.Events = c.filterKind(reply.Events)
		list = append(list, withDaemon(reply)...)
	}
	slices.SortStableFunc(list, func(a, b fleetEvent) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Sequence, b.Sequence))
	})
	if err := s.print(list, func(w io.Writer) { writeEvents(w, list) }); err != nil {
		return err
	}
	if missing > 0 {
		return errors.Wrapf(errPartial, "events of %d of %d daemons are missing", missing, len(addresses))
	}
	return nil
}

// operatorAddresses returns the operators' addresses of the members that are neither
// dead nor have left, or those of the command line if the fleet does not report any.
func (s *session) operatorAddresses(ctx context.Context) ([]string, error) {
	fleet, err := s.client.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	running := 0
	for _, m := range fleet.Members {
		if m.State == "dead" || m.State == "left" {
			continue
		}
		running++
		if m.Operators != "" {
			addresses = append(addresses, m.Operators)
		}
	}
	if len(addresses) > 0 {
		return addresses, nil
	}
	addresses = s.client.Addresses()
	if len(addresses) < running {
		s.notef("asking %d of %d daemons; name the operators' port of each with --address", len(addresses), running)
	}
	return addresses, nil
}

func withDaemon(reply operators.Events) []fleetEvent {
	list := make([]fleetEvent, 0, len(reply.Events))
	for _, e := range reply.Events {
		list = append(list, fleetEvent{reply.Daemon, e})
	}
	return list
}

func writeEvents(w io.Writer, list []fleetEvent) {
	writeRow(w, "TIME", "DAEMON", "SEQUENCE", "KIND", "SUBJECT", "CAUSE")
	for _, e := range list {
		writeRow(w, e.At.UTC().Format(time.RFC3339Nano), e.Daemon, e.Sequence, e.Kind, e.Subject, e.Cause)
	}
}
