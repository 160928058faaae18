package command

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// upstreamsCommand lists the replicas.
type upstreamsCommand struct {
	Service string `long:"service" description:"only this service, as USER/SERVICE"`
}

func (c *upstreamsCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Upstreams(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.Service != "" && len(reply.Upstreams) == 0 {
		return errors.Newf("no upstreams of %s are known", c.Service)
	}
	return s.print(reply, func(w io.Writer) {
		writeRow(w, "UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "LATENCY", "IN FLIGHT", "CONNECTIONS", "LEVEL", "WHY")
		for _, u := range reply.Upstreams {
			writeRow(w, u.ID, u.Service, u.DataCentre, u.State, formatLatency(u.Latency), u.InFlight, formatScalar(u.Share), formatLevel(u.Level), u.Why)
		}
	})
}

// formatLatency shortens a duration to tenths of a millisecond. An upstream without a
// sample has none.
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

// formatLevel is empty for an upstream that is not in a cold start.
func formatLevel(raw json.RawMessage) string {
	if text := formatScalar(raw); text != "0" {
		return text
	}
	return ""
}
