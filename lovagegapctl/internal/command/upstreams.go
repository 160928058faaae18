package command

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// upstreamsCommand lists the replicas as a daemon sees them.
type upstreamsCommand struct {
	Service string `long:"service" description:"only this service, as USER/SERVICE"`
}

func (c *upstreamsCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Upstreams(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.Service != "" && len(reply.Upstreams) == 0 {
		return errors.Newf("service %s has no known upstreams", c.Service)
	}
	return s.print(reply, func(w io.Writer) {
		writeRow(w, "UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "LATENCY", "IN FLIGHT", "CONNECTIONS", "LEVEL", "WHY")
		for _, u := range reply.Upstreams {
			writeRow(w, u.ID, u.Service, u.DataCentre, u.State, formatLatency(u.Latency), u.InFlight,
				formatScalar(u.Share), formatLevel(u.Level), u.Why)
		}
	})
}

// formatLatency rounds a duration to 0.1 ms. It returns "" for 0, which means that there
// is no sample yet.
func formatLatency(raw json.RawMessage) string {
	text := formatScalar(raw)
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return text
	case d == 0:
		return ""
	}
	return d.Round(100 * time.Microsecond).String()
}

// formatLevel returns the level of a cold start, or "" for 0, which means that the
// upstream is not in one.
func formatLevel(raw json.RawMessage) string {
	if text := formatScalar(raw); text != "0" {
		return text
	}
	return ""
}
