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

// errPartial is returned when some daemons did not answer.
var errPartial = errors.New("not every daemon answered")

// eventsCommand lists what happened on one daemon or on all.
type eventsCommand struct {
	Fleet bool   `long:"fleet" description:"merge the events of all daemons by time; without their operators' addresses, of every --address"`
	After uint64 `long:"after" description:"only events after this sequence number of the daemon"`
	Kind  string `long:"kind" description:"only events of this kind, such as settings or cold-start"`
}

// fleetEvent is an event together with its daemon.
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

// filterKind leaves out the events of other kinds.
func (c *eventsCommand) filterKind(list []operators.Event) []operators.Event {
	if c.Kind == "" {
		return list
	}
	return slices.DeleteFunc(list, func(e operators.Event) bool { return e.Kind != c.Kind })
}

// runFleet shows what it can get and fails if a daemon is missing.
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
			s.notef("no events of %s: %v", address, err)
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
		return errors.Wrapf(errPartial, "%d of %d are missing", missing, len(addresses))
	}
	return nil
}

// operatorAddresses returns the operators' addresses of the members that run,
// or those of the command line if the fleet does not tell them.
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
